/** How a replica keeps up: polls of the store by few hosts, and questions between hosts. */
package org.dragonflymux.core.gossip;
