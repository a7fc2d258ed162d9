/** Membership of hosts: leases and records in the store, election of the grantor, and the source of store updates. */
package org.dragonflymux.core.membership;
