/** The platform's store as a port, and the host's copy of what lies there. */
package org.dragonflymux.gateway.store;
