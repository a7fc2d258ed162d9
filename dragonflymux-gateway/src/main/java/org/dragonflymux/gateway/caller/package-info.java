/** HTTP server for callers: reads requests and sends the responses in request order. */
package org.dragonflymux.gateway.caller;
