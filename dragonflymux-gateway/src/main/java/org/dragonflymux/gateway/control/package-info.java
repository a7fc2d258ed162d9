/** The control plane of a host: its lease, its records in the store, and the grants of shard keys. */
package org.dragonflymux.gateway.control;
