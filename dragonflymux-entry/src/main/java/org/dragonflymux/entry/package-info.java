/** The program dragonfly-entry: the I/O layer around the state machine of an entry host. */
package org.dragonflymux.entry;
