/** The programs dragonfly-load and dragonfly-bench. */
package org.dragonflymux.load;
