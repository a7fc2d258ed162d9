/** The clocks of a host: which of them may run ahead of real time, and which may run behind it. */
package org.dragonflymux.gateway.clock;
