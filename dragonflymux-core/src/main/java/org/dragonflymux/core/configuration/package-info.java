/** A replica of all keys under the project's prefix in the store. No key ever reverts to an older revision. */
package org.dragonflymux.core.configuration;
