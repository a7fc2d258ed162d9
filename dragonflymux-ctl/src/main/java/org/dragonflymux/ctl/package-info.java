/** The program dragonflyctl, for operators. */
package org.dragonflymux.ctl;
