/** Virtual time for tests and benchmarks. */
package org.dragonflymux.standin.time;
