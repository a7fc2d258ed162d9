/** Builds requests to targets and interprets their responses. */
package org.dragonflymux.gateway.target;
