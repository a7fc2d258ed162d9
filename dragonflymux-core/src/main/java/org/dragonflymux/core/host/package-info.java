/** The entry host as one deterministic state machine, composed of the state machines of its components. */
package org.dragonflymux.core.host;
