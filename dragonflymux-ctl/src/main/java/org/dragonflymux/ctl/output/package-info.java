/** Output of commands as tables or JSON. */
package org.dragonflymux.ctl.output;
