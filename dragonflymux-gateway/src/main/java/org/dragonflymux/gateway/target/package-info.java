/** Requests to targets and what their answers mean. */
package org.dragonflymux.gateway.target;
