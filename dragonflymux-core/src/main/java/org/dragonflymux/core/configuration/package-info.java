/** A monotonic replica of everything under the project's prefix in the store. */
package org.dragonflymux.core.configuration;
