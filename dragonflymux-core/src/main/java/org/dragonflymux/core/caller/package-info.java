/** Decides which callers' connections stop being read or are closed when memory or descriptors become scarce. */
package org.dragonflymux.core.caller;
