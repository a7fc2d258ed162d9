/** Reports between hosts: MessagePack in datagrams, each whole in itself, so that a lost one does no harm. */
package org.dragonflymux.gateway.peer;
