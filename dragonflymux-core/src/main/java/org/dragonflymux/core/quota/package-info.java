/**
 * Customers' rates over the whole fleet: one bucket a customer at one host, its lender, out of which the others take tokens.
 *
 * <p>Every token is in the bucket, outstanding at a host, or used. The lender keeps the first two together at or below the
 * burst, so that no window of time sees more requests than the rate times its length and the burst, whatever gets lost.
 */
package org.dragonflymux.core.quota;
