/** Memory of requests that must run at most once. */
package org.dragonflymux.core.idempotency;
