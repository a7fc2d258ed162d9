package org.dragonflymux.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DistributedRateLimiterTest {

    private static final HostId LENDER = HostId.of("lender");
    private static final HostId BORROWER = HostId.of("borrower");
    private static final HostId THIRD = HostId.of("third");
    private static final CustomerName CUSTOMER = CustomerName.of("c");
    private static final long LEASE = 3;
    private static final long START = 100_000;

    private final DistributedRateLimiter lender = DistributedRateLimiter.of(LENDER, 2, START);
    private final DistributedRateLimiter borrower = DistributedRateLimiter.of(BORROWER, 1, 0);
    private long now = START;
    private long request;

    private static List<LenderPartition> lenderPartitions(long epoch) {
        return lenderPartitions(epoch, 2);
    }

    private static List<LenderPartition> lenderPartitions(long epoch, long incarnation) {
        FleetMember holder = new FleetMember(LENDER, incarnation, FailureDomain.of("a"), "127.0.0.1:1");
        List<LenderPartition> result = new ArrayList<>();
        for (int number = 0; number < LenderPartition.COUNT; number++) {
            result.add(new LenderPartition(number, holder, LEASE, epoch));
        }
        return result;
    }

    @BeforeEach
    void lenderWithFullBucket() {
        lender.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
        lender.updateLease(LEASE, Long.MAX_VALUE, 0);
        lender.replacePartitions(lenderPartitions(1), 0);
        borrower.replacePartitions(lenderPartitions(1), 0);
        borrower.replaceMembers(List.of(LENDER, BORROWER, THIRD));
    }

    /** Delivers messages until there are none left, and returns the decisions on the borrower's requests. */
    private List<RateDecision> deliverAll() {
        List<RateDecision> result = new ArrayList<>();
        List<RateMessage> asks = borrower.drainMessages();
        while (!asks.isEmpty()) {
            asks.forEach(message -> lender.messageReceived(message, now));
            lender.drainMessages().forEach(message -> result.addAll(borrower.messageReceived(message, now)));
            asks = borrower.drainMessages();
        }
        return result;
    }

    private List<RateDecision> acquire() {
        List<RateDecision> result = new ArrayList<>(borrower.acquire(CUSTOMER, ++request, now));
        result.addAll(deliverAll());
        return result;
    }

    private Token acquireToken() {
        return ((RateDecision.Admitted) acquire().getFirst()).token();
    }

    @Test
    void a_request_gets_its_token_from_the_lender() {
        assertThat(acquire()).singleElement().isInstanceOf(RateDecision.Admitted.class);
    }

    @Test
    void the_lender_itself_needs_no_message() {
        assertThat(lender.acquire(CUSTOMER, 1, now)).singleElement().isInstanceOf(RateDecision.Admitted.class);
        assertThat(lender.drainMessages()).isEmpty();
    }

    @Test
    void beyond_the_burst_requests_are_refused_until_the_next_token() {
        for (int i = 0; i < 10; i++) {
            borrower.recordUsed(acquireToken());
        }

        assertThat(acquire())
                .singleElement()
                .isInstanceOfSatisfying(
                        RateDecision.OverRate.class,
                        over -> assertThat(over.millisUntilNextToken()).isBetween(1L, 100L));
    }

    @Test
    void returned_tokens_can_be_used_again() {
        for (int i = 0; i < 10; i++) {
            borrower.recordReturned(acquireToken());
        }

        assertThat(acquire()).first().isInstanceOf(RateDecision.Admitted.class);
    }

    @Test
    void an_unlimited_customer_gets_every_token_it_asks_for() {
        lender.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 0, 0)));
        for (int i = 0; i < 1_000; i++) {
            borrower.recordUsed(acquireToken());
        }
    }

    @Nested
    class Faults {

        @Test
        void a_lender_lends_nothing_once_its_lease_may_have_expired() {
            lender.updateLease(LEASE, now, now);
            borrower.acquire(CUSTOMER, 1, now);

            assertThat(deliverAll()).isEmpty();
        }

        @Test
        void a_new_epoch_lends_only_after_all_tokens_of_the_previous_epoch_have_expired() {
            lender.replacePartitions(lenderPartitions(2), now);
            now += TokenAccount.TOKEN_LIFETIME_MILLIS;
            assertThat(acquire()).first().isInstanceOf(RateDecision.OverRate.class);

            now += 100;
            assertThat(acquire()).first().isInstanceOf(RateDecision.Admitted.class);
        }

        /**
         * Guards against seconds without service after all hosts were killed: the lenders waited for tokens of
         * predecessors that no longer existed.
         */
        @Test
        void a_partition_reclaimed_from_an_earlier_incarnation_lends_from_the_start_of_the_host() {
            DistributedRateLimiter restarted = DistributedRateLimiter.of(LENDER, 2, now);
            restarted.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
            restarted.updateLease(LEASE, Long.MAX_VALUE, now);
            restarted.replacePartitions(lenderPartitions(1, 1), now);
            now += TokenAccount.TOKEN_LIFETIME_MILLIS;
            restarted.replacePartitions(lenderPartitions(2, 2), now);
            now += 100;

            assertThat(restarted.acquire(CUSTOMER, 1, now)).first().isInstanceOf(RateDecision.Admitted.class);
        }

        /**
         * Guards against tokens that were lent twice: a claim of the earlier incarnation was carried out late, after another
         * host had been the lender since the start of this one.
         */
        @Test
        void a_partition_that_another_host_held_since_the_start_of_this_one_lends_only_from_then_on() {
            DistributedRateLimiter restarted = DistributedRateLimiter.of(LENDER, 2, now);
            restarted.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
            restarted.updateLease(LEASE, Long.MAX_VALUE, now);
            FleetMember other = new FleetMember(THIRD, 1, FailureDomain.of("a"), "127.0.0.1:2");
            int number = LenderPartition.numberOf(CUSTOMER);
            restarted.replacePartitions(List.of(new LenderPartition(number, other, 9, 1)), now);
            now += 2_000;
            restarted.replacePartitions(lenderPartitions(2, 1), now);
            now += 50;
            restarted.replacePartitions(lenderPartitions(3, 2), now);
            now += 100;

            assertThat(restarted.acquire(CUSTOMER, 1, now)).first().isInstanceOf(RateDecision.OverRate.class);
        }

        /** Guards against tokens that were lent twice: a claim of several partitions at once made all of them count as reclaimed. */
        @Test
        void a_partition_claimed_together_with_a_reclaimed_one_lends_only_from_then_on() {
            DistributedRateLimiter restarted = DistributedRateLimiter.of(LENDER, 2, now);
            restarted.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
            restarted.updateLease(LEASE, Long.MAX_VALUE, now);
            int number = LenderPartition.numberOf(CUSTOMER);
            FleetMember other = new FleetMember(THIRD, 1, FailureDomain.of("a"), "127.0.0.1:2");
            List<LenderPartition> before = lenderPartitions(1, 1);
            before.set(number, new LenderPartition(number, other, 9, 1));
            restarted.replacePartitions(before, now);
            now += TokenAccount.TOKEN_LIFETIME_MILLIS;
            restarted.replacePartitions(lenderPartitions(2, 2), now);
            now += 100;

            assertThat(restarted.acquire(CUSTOMER, 1, now)).first().isInstanceOf(RateDecision.OverRate.class);
        }

        @Test
        void a_token_that_arrives_too_late_is_returned_unused() {
            borrower.acquire(CUSTOMER, 1, now);
            List<RateMessage> asks = borrower.drainMessages();
            asks.forEach(message -> lender.messageReceived(message, now));
            List<RateMessage> lends = lender.drainMessages();
            now += TokenAccount.TOKEN_LIFETIME_MILLIS;

            lends.forEach(message ->
                    assertThat(borrower.messageReceived(message, now)).isEmpty());
        }

        @Test
        void an_unanswered_demand_is_sent_again_through_a_third_host() {
            borrower.acquire(CUSTOMER, 1, now);
            borrower.drainMessages();
            List<RateMessage> resent = new ArrayList<>();
            for (int i = 0;
                    i < 10 && resent.stream().noneMatch(message -> message.via().isPresent());
                    i++) {
                now += 80;
                borrower.tick(now);
                resent.addAll(borrower.drainMessages());
            }
            RateMessage relayed = resent.stream()
                    .filter(message -> message.via().isPresent())
                    .findFirst()
                    .orElseThrow();
            DistributedRateLimiter third = DistributedRateLimiter.of(THIRD, 1, 0);
            third.messageReceived(relayed, now);

            assertThat(relayed.via()).contains(THIRD);
            assertThat(third.drainMessages()).containsExactly(relayed);
            lender.messageReceived(relayed, now);
            RateMessage answer = lender.drainMessages().getFirst();
            assertThat(answer.via()).contains(THIRD);
            assertThat(borrower.messageReceived(answer, now)).first().isInstanceOf(RateDecision.Admitted.class);
        }

        @Test
        void a_request_for_an_unresponsive_lender_ends_after_the_maximum_wait() {
            borrower.acquire(CUSTOMER, 1, now);
            now += 600;

            assertThat(borrower.tick(now)).containsExactly(new RateDecision.NoLender(1));
        }

        @Test
        void a_cancelled_request_gets_no_token() {
            borrower.acquire(CUSTOMER, 1, now);
            borrower.cancel(CUSTOMER, 1);

            assertThat(deliverAll()).isEmpty();
        }

        @Test
        void a_message_for_another_host_is_dropped_unless_this_host_is_its_relay() {
            borrower.messageReceived(new RateMessage.Lend(LENDER, THIRD, Optional.empty(), List.of()), now);

            assertThat(borrower.drainMessages()).isEmpty();
        }
    }
}
