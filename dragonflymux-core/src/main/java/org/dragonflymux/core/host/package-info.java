/** The whole entry host as one deterministic state machine, composed of the duties. */
package org.dragonflymux.core.host;
