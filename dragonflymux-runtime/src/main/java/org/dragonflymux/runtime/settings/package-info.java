/** Settings from flags and environment variables, checked together at start. */
package org.dragonflymux.runtime.settings;
