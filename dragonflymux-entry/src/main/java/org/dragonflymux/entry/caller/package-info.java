/** The callers' HTTP interface. */
package org.dragonflymux.entry.caller;
