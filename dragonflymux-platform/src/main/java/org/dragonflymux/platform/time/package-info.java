/** The runtime's clock. */
package org.dragonflymux.platform.time;
