/** Callers' connections: requests in, answers out in the order of the requests. */
package org.dragonflymux.gateway.caller;
