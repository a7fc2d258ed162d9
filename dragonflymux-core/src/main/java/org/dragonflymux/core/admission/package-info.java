/** Fleet-wide customer rate limits: each token bucket is held by one host, which lends tokens to the others. */
package org.dragonflymux.core.admission;
