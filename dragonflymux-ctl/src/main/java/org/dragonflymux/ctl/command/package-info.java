/** The commands of dragonflyctl, one class per group of commands. */
package org.dragonflymux.ctl.command;
