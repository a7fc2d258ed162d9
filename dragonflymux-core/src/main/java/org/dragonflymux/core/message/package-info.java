/** The seam between decision logic and shells: events in, effects out, and the messages they carry. */
package org.dragonflymux.core.message;
