/** The program dragonfly-entry: the shell around the entry host's decision logic. */
package org.dragonflymux.entry;
