/** Calls over pooled HTTP connections, one request at a time on each. */
package org.dragonflymux.gateway.http;
