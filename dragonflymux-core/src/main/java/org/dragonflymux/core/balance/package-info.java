/** What a host believes about targets: their entries, load, speed and failures, and the choice among them. */
package org.dragonflymux.core.balance;
