/**
 * Rate limits of customers across all hosts. Each customer has one token bucket, at the host that is its lender; the
 * other hosts borrow tokens from it.
 *
 * <p>Every token is in the bucket, outstanding at a host, or used. The lender keeps the sum of the first two at or
 * below the burst. In any period, therefore, no more requests run than the burst plus the rate times the length of the
 * period, even if messages or hosts are lost.
 */
package org.dragonflymux.core.quota;
