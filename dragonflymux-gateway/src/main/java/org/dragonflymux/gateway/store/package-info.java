/** The port to the platform's store, a host's copy of the store, and the relay of updates between hosts. */
package org.dragonflymux.gateway.store;
