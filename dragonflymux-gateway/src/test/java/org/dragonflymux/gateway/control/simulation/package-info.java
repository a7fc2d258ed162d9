/** Hosts that grant keys, their store, and targets, simulated in virtual time with faults drawn from a seed. */
package org.dragonflymux.gateway.control.simulation;
