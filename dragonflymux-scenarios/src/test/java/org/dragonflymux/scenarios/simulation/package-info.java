/** A deterministic simulation: the state machines of entry hosts and the stand-in models, connected in virtual time. */
package org.dragonflymux.scenarios.simulation;
