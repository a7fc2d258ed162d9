/** Requests and grants to targets over HTTP. */
package org.dragonflymux.entry.target;
