/** Reads documents from the store and writes them conditionally. */
package org.dragonflymux.ctl.store;
