/** The load generator dragonfly-load and the benchmark dragonfly-bench. */
package org.dragonflymux.load;
