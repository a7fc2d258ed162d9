/** Which target owns which shard keys: the table, its planning, and the grants that put it in force. */
package org.dragonflymux.core.shard;
