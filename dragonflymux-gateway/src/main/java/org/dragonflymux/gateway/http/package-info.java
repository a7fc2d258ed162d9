/** HTTP client with pooled connections, each of which carries one request at a time. */
package org.dragonflymux.gateway.http;
