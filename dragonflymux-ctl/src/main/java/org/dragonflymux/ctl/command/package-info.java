/** The commands of dragonflyctl, one class each. */
package org.dragonflymux.ctl.command;
