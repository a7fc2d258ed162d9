/** Scripted scenarios on the real decision logic with virtual time, and model checking of the core protocol. */
package org.dragonflymux.scenarios;
