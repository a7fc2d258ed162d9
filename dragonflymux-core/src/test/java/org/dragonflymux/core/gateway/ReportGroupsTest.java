package org.dragonflymux.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReportGroupsTest {

    private static final int DOMAINS = 4;

    private static List<FleetMember> fleet(int hosts) {
        List<FleetMember> result = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            result.add(new FleetMember(
                    HostId.of("h" + i), 1, FailureDomain.of("d" + i % DOMAINS), "127.0.0.1:" + (1_000 + i)));
        }
        return result;
    }

    @Test
    void hosts_of_a_small_fleet_report_to_each_other() {
        assertThat(ReportGroups.of(fleet(12)).collectors()).hasSize(12);
    }

    @ParameterizedTest
    @ValueSource(ints = {17, 87, 300, 1_000, 3_200})
    void group_size_and_group_count_grow_with_the_square_root_of_the_fleet_size(int hosts) {
        ReportGroups groups = ReportGroups.of(fleet(hosts));
        int maxGroupSize = (int) Math.ceil(Math.sqrt(hosts));

        assertThat(groups.groups()).allSatisfy(group -> assertThat(group).hasSizeLessThanOrEqualTo(maxGroupSize));
        assertThat(groups.collectors()).hasSizeLessThanOrEqualTo(maxGroupSize + DOMAINS);
    }

    @Test
    void each_host_is_in_one_group_of_its_own_failure_domain() {
        List<FleetMember> fleet = fleet(87);
        ReportGroups groups = ReportGroups.of(fleet);

        assertThat(groups.groups().stream().flatMap(List::stream)).hasSize(87).doesNotHaveDuplicates();
        assertThat(groups.groups()).allSatisfy(group -> {
            Set<Integer> domains = group.stream()
                    .map(host -> Integer.parseInt(host.value().substring(1)) % DOMAINS)
                    .collect(Collectors.toSet());
            assertThat(domains).hasSize(1);
        });
    }

    @Test
    void a_host_that_is_not_a_member_is_a_group_of_its_own() {
        HostId nonMember = HostId.of("stranger");

        assertThat(ReportGroups.of(fleet(87)).groupOf(nonMember)).containsExactly(nonMember);
    }
}
