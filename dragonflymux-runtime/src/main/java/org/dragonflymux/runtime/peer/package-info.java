/** Links between entry hosts: MessagePack frames over TCP, authenticated by a shared secret. */
package org.dragonflymux.runtime.peer;
