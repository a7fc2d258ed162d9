/** A small bench: entry hosts' decision logic joined to stand-in models by a queue of timed deliveries. */
package org.dragonflymux.scenarios.bench;
