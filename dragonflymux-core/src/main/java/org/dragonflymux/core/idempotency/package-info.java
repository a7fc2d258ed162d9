/** At-most-once execution of requests that carry an idempotency key. */
package org.dragonflymux.core.idempotency;
