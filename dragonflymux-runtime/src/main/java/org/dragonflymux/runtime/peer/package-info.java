/** TCP links between entry hosts, which carry MessagePack frames and are authenticated by a shared secret. */
package org.dragonflymux.runtime.peer;
