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

    private static List<LenderPartition> seats(long tenure) {
        return seats(tenure, 2);
    }

    private static List<LenderPartition> seats(long tenure, long incarnation) {
        FleetMember holder = new FleetMember(LENDER, incarnation, FailureDomain.of("a"), "127.0.0.1:1");
        List<LenderPartition> result = new ArrayList<>();
        for (int number = 0; number < LenderPartition.COUNT; number++) {
            result.add(new LenderPartition(number, holder, LEASE, tenure));
        }
        return result;
    }

    @BeforeEach
    void aLenderWithAFullBucket() {
        lender.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
        lender.updateLease(LEASE, Long.MAX_VALUE, 0);
        lender.replacePartitions(seats(1), 0);
        borrower.replacePartitions(seats(1), 0);
        borrower.replaceMembers(List.of(LENDER, BORROWER, THIRD));
    }

    /** Carries all messages until there are none, and returns what came of the borrower's requests. */
    private List<RateDecision> carry() {
        List<RateDecision> result = new ArrayList<>();
        List<RateMessage> asked = borrower.drainMessages();
        while (!asked.isEmpty()) {
            asked.forEach(message -> lender.received(message, now));
            lender.drainMessages().forEach(message -> result.addAll(borrower.received(message, now)));
            asked = borrower.drainMessages();
        }
        return result;
    }

    private List<RateDecision> take() {
        List<RateDecision> result = new ArrayList<>(borrower.acquire(CUSTOMER, ++request, now));
        result.addAll(carry());
        return result;
    }

    private Token admitted() {
        return ((RateDecision.Admitted) take().getFirst()).token();
    }

    @Test
    void a_request_gets_its_token_from_the_lender() {
        assertThat(take()).singleElement().isInstanceOf(RateDecision.Admitted.class);
    }

    @Test
    void the_lender_itself_needs_no_message() {
        assertThat(lender.acquire(CUSTOMER, 1, now)).singleElement().isInstanceOf(RateDecision.Admitted.class);
        assertThat(lender.drainMessages()).isEmpty();
    }

    @Test
    void beyond_the_burst_requests_are_refused_until_the_next_token() {
        for (int i = 0; i < 10; i++) {
            borrower.used(admitted());
        }

        assertThat(take())
                .singleElement()
                .isInstanceOfSatisfying(
                        RateDecision.OverRate.class,
                        over -> assertThat(over.millisUntilNextToken()).isBetween(1L, 100L));
    }

    @Test
    void tokens_given_back_can_be_used_again() {
        for (int i = 0; i < 10; i++) {
            borrower.giveBack(admitted());
        }

        assertThat(take()).first().isInstanceOf(RateDecision.Admitted.class);
    }

    @Test
    void a_customer_that_the_lender_does_not_limit_gets_what_it_asks_for() {
        lender.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 0, 0)));
        for (int i = 0; i < 1_000; i++) {
            borrower.used(admitted());
        }
    }

    @Nested
    class Faults {

        @Test
        void a_lender_whose_lease_may_have_ended_lends_nothing() {
            lender.updateLease(LEASE, now, now);
            borrower.acquire(CUSTOMER, 1, now);

            assertThat(carry()).isEmpty();
        }

        @Test
        void a_new_tenure_lends_only_when_no_token_of_the_one_before_can_be_used() {
            lender.replacePartitions(seats(2), now);
            now += TokenAccount.USABLE_MILLIS;
            assertThat(take()).first().isInstanceOf(RateDecision.OverRate.class);

            now += 100;
            assertThat(take()).first().isInstanceOf(RateDecision.Admitted.class);
        }

        /** Guards against seconds without service after all hosts were killed: their lenders waited for nobody. */
        @Test
        void a_seat_of_the_hosts_own_former_life_lends_from_its_start_on() {
            DistributedRateLimiter restarted = DistributedRateLimiter.of(LENDER, 2, now);
            restarted.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
            restarted.updateLease(LEASE, Long.MAX_VALUE, now);
            restarted.replacePartitions(seats(1, 1), now);
            now += TokenAccount.USABLE_MILLIS;
            restarted.replacePartitions(seats(2, 2), now);
            now += 100;

            assertThat(restarted.acquire(CUSTOMER, 1, now)).first().isInstanceOf(RateDecision.Admitted.class);
        }

        @Test
        void a_token_that_came_too_late_is_not_used_but_given_back() {
            borrower.acquire(CUSTOMER, 1, now);
            List<RateMessage> asked = borrower.drainMessages();
            asked.forEach(message -> lender.received(message, now));
            List<RateMessage> lent = lender.drainMessages();
            now += TokenAccount.USABLE_MILLIS;

            lent.forEach(message -> assertThat(borrower.received(message, now)).isEmpty());
        }

        @Test
        void an_unanswered_question_is_asked_again_through_a_third_host() {
            borrower.acquire(CUSTOMER, 1, now);
            borrower.drainMessages();
            List<RateMessage> again = new ArrayList<>();
            for (int i = 0;
                    i < 10 && again.stream().noneMatch(message -> message.via().isPresent());
                    i++) {
                now += 80;
                borrower.tick(now);
                again.addAll(borrower.drainMessages());
            }
            RateMessage detour = again.stream()
                    .filter(message -> message.via().isPresent())
                    .findFirst()
                    .orElseThrow();
            DistributedRateLimiter third = DistributedRateLimiter.of(THIRD, 1, 0);
            third.received(detour, now);

            assertThat(detour.via()).contains(THIRD);
            assertThat(third.drainMessages()).containsExactly(detour);
            lender.received(detour, now);
            RateMessage answer = lender.drainMessages().getFirst();
            assertThat(answer.via()).contains(THIRD);
            assertThat(borrower.received(answer, now)).first().isInstanceOf(RateDecision.Admitted.class);
        }

        @Test
        void requests_do_not_wait_for_ever_for_a_silent_lender() {
            borrower.acquire(CUSTOMER, 1, now);
            now += 600;

            assertThat(borrower.tick(now)).containsExactly(new RateDecision.NoLender(1));
        }

        @Test
        void a_request_that_left_gets_no_token() {
            borrower.acquire(CUSTOMER, 1, now);
            borrower.cancel(CUSTOMER, 1);

            assertThat(carry()).isEmpty();
        }

        @Test
        void a_message_for_another_host_is_dropped_unless_it_is_to_be_passed_on() {
            borrower.received(new RateMessage.Lend(LENDER, THIRD, Optional.empty(), List.of()), now);

            assertThat(borrower.drainMessages()).isEmpty();
        }
    }
}
