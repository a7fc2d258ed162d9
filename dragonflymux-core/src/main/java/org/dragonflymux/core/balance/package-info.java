/** A host's view of the targets (entries, load, service times and failures) and the selection of a target for a request. */
package org.dragonflymux.core.balance;
