/** The program of a host that sends requests directly to targets: sockets, timers and the decisions between them. */
package org.dragonflymux.gateway;
