/** Ownership of shard keys: the table, its planner, and the grants that put the table into force. */
package org.dragonflymux.core.shard;
