/** The clock of the programs. */
package org.dragonflymux.runtime.time;
