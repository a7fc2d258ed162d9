/** The command-line program dragonflyctl for operators. */
package org.dragonflymux.ctl;
