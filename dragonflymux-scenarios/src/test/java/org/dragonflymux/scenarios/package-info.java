/** Scripted scenarios that run the real state machines in virtual time, and model checking of the core protocol. */
package org.dragonflymux.scenarios;
