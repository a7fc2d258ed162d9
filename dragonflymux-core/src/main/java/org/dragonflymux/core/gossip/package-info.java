/** Replication of the configuration: a few hosts poll the store, and hosts request changes from one another. */
package org.dragonflymux.core.gossip;
