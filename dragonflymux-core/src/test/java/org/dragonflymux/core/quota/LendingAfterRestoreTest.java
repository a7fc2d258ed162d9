package org.dragonflymux.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.dragonflymux.core.desired.CustomerSpec;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.MembershipStateMachine;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a customer that gets more than its rate: a lender that hasn't noticed that the store came back from a copy lends
 * until its lease would have ended, while another host has the partition, as the store has lost the lender's claim.
 */
class LendingAfterRestoreTest {

    private static final CustomerName CUSTOMER = CustomerName.of("acme");
    private static final HostId SELF = HostId.of("a");
    private static final long LEASE = StoreEpoch.qualify(2, 7);

    private final DistributedRateLimiter lender = DistributedRateLimiter.of(SELF, 1, 0);
    private long now = 100_000;
    private long request;

    private static LenderPartition partition(String host, long lease, long epoch) {
        FleetMember holder = new FleetMember(HostId.of(host), 1, FailureDomain.of("z"), "127.0.0.1:1");
        return new LenderPartition(LenderPartition.numberOf(CUSTOMER), holder, lease, epoch);
    }

    private void claimInEpochTwo() {
        lender.replaceCustomers(List.of(new CustomerSpec(CUSTOMER, OptionalInt.empty(), 10, 10)));
        lender.updateLease(LEASE, Long.MAX_VALUE, now);
        lender.replacePartitions(List.of(partition("a", LEASE, StoreEpoch.qualify(2, 51))), now);
    }

    private boolean lends() {
        return lender.acquire(CUSTOMER, ++request, now).stream().anyMatch(RateDecision.Admitted.class::isInstance);
    }

    private void assertWaitsForLeases() {
        now += MembershipStateMachine.LEASE_MILLIS;
        assertThat(lends()).isFalse();
        now += TokenAccount.TOKEN_LIFETIME_MILLIS + 200;
        assertThat(lends()).isTrue();
    }

    @Test
    void a_partition_of_a_new_epoch_waits_for_the_leases_of_the_one_before() {
        lender.replacePartitions(List.of(partition("b", StoreEpoch.qualify(1, 3), StoreEpoch.qualify(1, 50))), now);
        claimInEpochTwo();

        assertWaitsForLeases();
    }

    private void lendInEpochOne(long leaseUntil) {
        long lease = StoreEpoch.qualify(1, 7);
        lender.updateLease(lease, leaseUntil, now);
        lender.replacePartitions(List.of(partition("a", lease, StoreEpoch.qualify(1, 50))), now);
    }

    /** Guards against a wait for others that is not needed, in which customers are refused after each restore. */
    @Test
    void a_lender_whose_lease_was_valid_until_the_restore_waits_for_its_own_tokens_only() {
        lendInEpochOne(now + 1);
        claimInEpochTwo();
        now += TokenAccount.TOKEN_LIFETIME_MILLIS;
        assertThat(lends()).isFalse();
        now += 200;

        assertThat(lends()).isTrue();
    }

    @Test
    void a_lender_whose_lease_may_have_ended_before_the_restore_waits_for_the_leases_of_others() {
        lendInEpochOne(now);
        claimInEpochTwo();

        assertWaitsForLeases();
    }

    @Test
    void a_host_that_starts_after_the_restore_knows_it_by_the_claims_in_the_copy() {
        lender.replacePartitions(List.of(partition("b", StoreEpoch.qualify(1, 3), StoreEpoch.qualify(2, 50))), now);
        claimInEpochTwo();

        assertWaitsForLeases();
    }

    @Test
    void a_partition_of_the_first_epoch_waits_for_tokens_only() {
        claimInEpochTwo();
        now += TokenAccount.TOKEN_LIFETIME_MILLIS + 200;

        assertThat(lends()).isTrue();
    }
}
