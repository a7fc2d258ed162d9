/** The runtime's clock. */
package org.dragonflymux.runtime.time;
