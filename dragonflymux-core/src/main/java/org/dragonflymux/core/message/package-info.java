/** Events that the entry host's state machine handles, effects that it returns, and the messages that they carry. */
package org.dragonflymux.core.message;
