/** What a host does besides serving requests: its lease, its record, and the granting of keys. */
package org.dragonflymux.gateway.control;
