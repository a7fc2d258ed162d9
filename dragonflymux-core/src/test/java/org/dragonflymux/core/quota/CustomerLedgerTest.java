package org.dragonflymux.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CustomerLedgerTest {

    private static final HostId HOST = HostId.of("h");
    private static final HostId OTHER = HostId.of("other");
    private static final long FULL = 60_000;

    private final CustomerSpec customer = spec(100, 100);
    private final CustomerLedger ledger = new CustomerLedger(0);
    private long sequence;

    private static CustomerSpec spec(double rate, double burst) {
        return new CustomerSpec(CustomerName.of("c"), OptionalInt.empty(), rate, burst);
    }

    private int lend(HostId host, int tokens, long now) {
        return ledger.lend(host, ++sequence, tokens, tokens, customer, now);
    }

    @Test
    void a_new_bucket_is_empty_until_it_begins_to_fill() {
        CustomerLedger later = new CustomerLedger(1_000);

        assertThat(later.lend(HOST, ++sequence, 10, 10, customer, 1_000)).isZero();
        assertThat(later.lend(HOST, ++sequence, 10, 10, customer, 1_050)).isEqualTo(5);
    }

    @Test
    void lends_at_most_the_burst_at_once() {
        assertThat(lend(HOST, 1_000, FULL)).isEqualTo(100);
        assertThat(lend(OTHER, 1, FULL)).isZero();
        assertThat(ledger.millisUntilNextToken(customer, FULL)).isEqualTo(10);
    }

    @Test
    void prefetched_tokens_leave_half_of_the_bucket() {
        assertThat(ledger.lend(HOST, ++sequence, 0, 80, customer, FULL)).isEqualTo(50);
        assertThat(ledger.lend(OTHER, ++sequence, 0, 1, customer, FULL)).isZero();
        assertThat(ledger.lend(OTHER, ++sequence, 1, 1, customer, FULL)).isEqualTo(1);
    }

    /** Guards against refusing requests within the rate: a slow lender lent again for every repeated demand. */
    @Test
    void a_repeated_demand_gets_the_same_tokens() {
        assertThat(ledger.lend(HOST, 7, 10, 10, customer, FULL)).isEqualTo(10);
        assertThat(ledger.lend(HOST, 7, 10, 10, customer, FULL)).isEqualTo(10);
        assertThat(ledger.lend(HOST, 6, 10, 10, customer, FULL)).isZero();

        assertThat(ledger.lend(OTHER, 1, 1_000, 1_000, customer, FULL)).isEqualTo(90);
    }

    @Test
    void a_lowered_limit_applies_immediately() {
        assertThat(ledger.lend(HOST, ++sequence, 1_000, 1_000, customer, FULL)).isEqualTo(100);
        ledger.settle(HOST, 0, 0, 100);

        assertThat(ledger.lend(HOST, ++sequence, 1_000, 1_000, spec(10, 10), FULL))
                .isEqualTo(10);
    }

    @Nested
    class Outstanding {

        @Test
        void outstanding_tokens_reduce_the_capacity_until_they_are_settled() {
            lend(HOST, 100, FULL);

            assertThat(lend(OTHER, 1_000, FULL + 1_900)).isZero();
            ledger.settle(HOST, 0, 40, 0);
            assertThat(lend(OTHER, 1_000, FULL + 1_900)).isZero();
            assertThat(lend(OTHER, 1_000, FULL + 1_990)).isEqualTo(9);
        }

        @Test
        void returned_tokens_can_be_lent_again() {
            lend(HOST, 100, FULL);
            ledger.settle(HOST, 0, 0, 30);

            assertThat(lend(OTHER, 1_000, FULL)).isEqualTo(30);
        }

        @Test
        void a_repeated_or_outdated_total_returns_no_token_twice() {
            lend(HOST, 100, FULL);
            ledger.settle(HOST, 0, 0, 30);
            ledger.settle(HOST, 0, 0, 30);
            ledger.settle(HOST, 0, 0, 10);

            assertThat(lend(OTHER, 1_000, FULL)).isEqualTo(30);
        }

        @Test
        void a_host_cannot_return_more_tokens_than_it_was_lent() {
            lend(HOST, 10, FULL);
            lend(OTHER, 90, FULL);
            ledger.settle(HOST, 0, 0, 50);

            assertThat(lend(OTHER, 1_000, FULL)).isEqualTo(10);
        }

        @Test
        void tokens_that_are_not_reported_in_time_count_as_used() {
            lend(HOST, 100, FULL);

            assertThat(lend(OTHER, 1_000, FULL + 2_001)).isPositive().isLessThanOrEqualTo(100);
            ledger.settle(HOST, 0, 0, 100);
            assertThat(lend(OTHER, 1_000, FULL + 2_001)).isZero();
        }

        @Test
        void tokens_of_an_earlier_incarnation_count_as_used() {
            ledger.settle(HOST, 1, 0, 0);
            lend(HOST, 100, FULL);
            ledger.settle(HOST, 2, 0, 0);
            ledger.settle(HOST, 1, 0, 100);

            assertThat(lend(OTHER, 1_000, FULL)).isZero();
            assertThat(lend(OTHER, 1_000, FULL + 500)).isEqualTo(50);
        }
    }
}
