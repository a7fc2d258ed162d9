/** The HTTP interface for callers. */
package org.dragonflymux.entry.caller;
