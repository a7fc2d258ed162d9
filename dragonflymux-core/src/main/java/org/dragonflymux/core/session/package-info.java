/** A host's time-limited authority, based on a session in the store or on pledges while the store is unreachable. */
package org.dragonflymux.core.session;
