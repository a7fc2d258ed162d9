/** Settings from command-line flags and environment variables, validated together at start-up. */
package org.dragonflymux.runtime.settings;
