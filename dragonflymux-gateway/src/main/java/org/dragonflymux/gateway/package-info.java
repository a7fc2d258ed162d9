/** The gateway process, which forwards callers' requests directly to targets: its sockets, timers and event loop. */
package org.dragonflymux.gateway;
