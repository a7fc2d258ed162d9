/** Metrics and structured logs. */
package org.dragonflymux.entry.telemetry;
