/** Reads and conditional writes of documents in the store. */
package org.dragonflymux.ctl.store;
