/** A host's time-bound authority: a session in the store, or pledges while the store is unreachable. */
package org.dragonflymux.core.session;
