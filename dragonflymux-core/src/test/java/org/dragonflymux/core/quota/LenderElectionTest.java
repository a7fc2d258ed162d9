package org.dragonflymux.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Test;

class LenderElectionTest {

    private static final long LEASE = 5;
    private static final long SETTLED_AT = 300;

    private static FleetMember member(String host, long incarnation) {
        return new FleetMember(HostId.of(host), incarnation, FailureDomain.of("a"), "127.0.0.1:1");
    }

    /** Returns the claims of a host that has known the members for the settling time. */
    private static List<LenderElection.Claim> claimsAfterSettling(
            LenderElection election, Map<HostId, FleetMember> members) {
        assertThat(election.due(members, LEASE, 0)).isEmpty();
        return election.due(members, LEASE, SETTLED_AT);
    }

    private static Map<HostId, FleetMember> members(FleetMember... members) {
        Map<HostId, FleetMember> result = new HashMap<>();
        for (FleetMember member : members) {
            result.put(member.host(), member);
        }
        return result;
    }

    private static List<LenderPartition> allHeldBy(FleetMember holder, long lease) {
        List<LenderPartition> result = new ArrayList<>();
        for (int number = 0; number < LenderPartition.COUNT; number++) {
            result.add(new LenderPartition(number, holder, lease, 40 + number));
        }
        return result;
    }

    @Test
    void a_single_host_claims_all_free_partitions() {
        LenderElection election = LenderElection.of(member("h", 1));

        List<LenderElection.Claim> claims = claimsAfterSettling(election, members(member("h", 1)));

        assertThat(claims).hasSize(LenderPartition.COUNT).allMatch(claim -> claim.expectedRevision() == 0);
    }

    @Test
    void each_free_partition_is_claimed_first_by_exactly_one_host() {
        FleetMember[] all = {member("a", 1), member("b", 1), member("c", 1), member("d", 1)};
        Set<Integer> claimed = new HashSet<>();
        int total = 0;
        for (FleetMember self : all) {
            List<LenderElection.Claim> claims = claimsAfterSettling(LenderElection.of(self), members(all));
            claims.forEach(claim -> claimed.add(claim.number()));
            total += claims.size();
        }

        assertThat(claimed).hasSize(LenderPartition.COUNT);
        assertThat(total).isEqualTo(LenderPartition.COUNT);
    }

    @Test
    void other_hosts_claim_a_partition_that_its_first_host_leaves_free() {
        LenderElection election = LenderElection.of(member("a", 1));
        Map<HostId, FleetMember> members = members(member("a", 1), member("b", 1));
        claimsAfterSettling(election, members);
        election.claimEnded(SETTLED_AT);

        assertThat(election.due(members, LEASE, SETTLED_AT + 200)).hasSize(LenderPartition.COUNT);
    }

    @Test
    void a_held_partition_is_not_claimed() {
        LenderElection election = LenderElection.of(member("a", 1));
        election.replacePartitions(allHeldBy(member("b", 1), 9));

        assertThat(election.due(members(member("a", 1), member("b", 1)), LEASE, 0))
                .isEmpty();
        assertThat(election.due(members(member("a", 1)), LEASE, 60_000)).isEmpty();
    }

    @Test
    void a_partition_of_an_ended_incarnation_is_claimed_under_its_revision() {
        LenderElection election = LenderElection.of(member("a", 1));
        election.replacePartitions(allHeldBy(member("b", 1), 9));
        Map<HostId, FleetMember> members = members(member("a", 1), member("b", 2));
        claimsAfterSettling(election, members);
        election.claimEnded(SETTLED_AT);

        List<LenderElection.Claim> claims = election.due(members, LEASE, SETTLED_AT + 200);

        assertThat(claims)
                .hasSize(LenderPartition.COUNT)
                .allMatch(claim -> claim.expectedRevision() == 40 + claim.number());
    }

    @Test
    void partitions_of_an_earlier_incarnation_are_reclaimed_immediately() {
        LenderElection election = LenderElection.of(member("a", 2));
        election.replacePartitions(allHeldBy(member("a", 1), 9));

        assertThat(election.due(members(member("a", 2), member("b", 1)), LEASE, 0))
                .hasSize(LenderPartition.COUNT);
    }

    @Test
    void an_own_partition_bound_to_an_earlier_lease_is_claimed_again() {
        LenderElection election = LenderElection.of(member("a", 1));
        election.replacePartitions(allHeldBy(member("a", 1), LEASE - 1));

        assertThat(election.due(members(member("a", 1)), LEASE, 0)).hasSize(LenderPartition.COUNT);
        election.replacePartitions(allHeldBy(member("a", 1), LEASE));
        election.claimEnded(0);
        assertThat(election.due(members(member("a", 1)), LEASE, SETTLED_AT + 1_000))
                .isEmpty();
    }
}
