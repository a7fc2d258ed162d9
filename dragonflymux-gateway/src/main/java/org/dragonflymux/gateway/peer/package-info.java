/**
 * Reports and rate messages between hosts, encoded as MessagePack in UDP datagrams. Each datagram is self-contained, so the
 * loss of one does no harm.
 */
package org.dragonflymux.gateway.peer;
