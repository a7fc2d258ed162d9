/** How a host keeps its lease in the store, is found by the others, and becomes the one that grants keys. */
package org.dragonflymux.core.membership;
