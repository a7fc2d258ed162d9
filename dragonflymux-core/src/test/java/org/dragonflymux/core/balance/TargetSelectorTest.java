package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetSelectorTest {

    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final FailureDomain DOMAIN = FailureDomain.of("a");

    private static TargetDirectory directory(int targets, int fastest) {
        TargetDirectory directory = TargetDirectory.empty();
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            entries.add(new TargetEntry(TargetId.of("t" + i), SERVICE, "127.0.0.1:1", DOMAIN, 4, false, 0, 1));
        }
        directory.replace(entries, 0);
        for (int i = 0; i < targets; i++) {
            int millis = i == fastest ? 200 : 400;
            directory.target(TargetId.of("t" + i)).orElseThrow().recordServiceTimes(millis, 10, 0);
        }
        return directory;
    }

    private static int maxSelectionsOfOneTarget(int hosts, int targets) {
        Map<TargetId, Integer> selections = new HashMap<>();
        for (int host = 0; host < hosts; host++) {
            TargetDirectory directory = directory(targets, 5);
            TargetSelector selector = TargetSelector.of(
                    directory, ColdPacer.of(HostId.of("h" + host), () -> hosts), DOMAIN, new SplittableRandom(host));
            selector.best(SERVICE, Set.of(), 0, 0)
                    .ifPresent(target -> selections.merge(target.entry().id(), 1, Integer::sum));
        }
        return selections.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    @Test
    void hosts_of_a_small_fleet_select_the_fastest_target() {
        assertThat(maxSelectionsOfOneTarget(12, 20)).isEqualTo(12);
    }

    /** Guards against all hosts of a large fleet selecting the same target because they have the same outdated load data. */
    @Test
    void hosts_of_a_large_fleet_do_not_all_select_the_same_target() {
        assertThat(maxSelectionsOfOneTarget(87, 82)).isLessThanOrEqualTo(32);
        assertThat(maxSelectionsOfOneTarget(300, 280)).isLessThanOrEqualTo(32);
    }

    @Test
    void a_free_target_outside_the_hosts_subset_is_found_when_the_subset_is_full() {
        TargetDirectory directory = directory(30, 5);
        for (int i = 0; i < 29; i++) {
            for (int busy = 0; busy < 5; busy++) {
                directory.target(TargetId.of("t" + i)).orElseThrow().sent(0);
            }
        }
        TargetSelector selector =
                TargetSelector.of(directory, ColdPacer.of(HostId.of("h"), () -> 300), DOMAIN, new SplittableRandom(1));

        for (int i = 0; i < 20; i++) {
            assertThat(selector.best(SERVICE, Set.of(), 0, 0))
                    .map(target -> target.entry().id())
                    .contains(TargetId.of("t29"));
        }
    }

    /**
     * Guards against hosts of a large fleet whose subset has no target of their own failure domain, so that all their requests
     * leave it while its targets are idle.
     */
    @ParameterizedTest
    @CsvSource({"60, 4, 23", "60, 4, 12", "60, 4, 56", "58, 3, 41", "24, 3, 30", "300, 6, 60"})
    void requests_stay_at_home_while_all_targets_are_idle(int hosts, int domains, int targets) {
        for (int host = 0; host < hosts; host++) {
            TargetDirectory directory = TargetDirectory.empty();
            List<TargetEntry> entries = new ArrayList<>();
            for (int i = 0; i < targets; i++) {
                FailureDomain domain = FailureDomain.of("d" + i % domains);
                entries.add(new TargetEntry(TargetId.of("t" + i), SERVICE, "127.0.0.1:1", domain, 4, false, 0, 1));
            }
            directory.replace(entries, 0);
            FailureDomain home = FailureDomain.of("d" + host % domains);
            TargetSelector selector = TargetSelector.of(
                    directory, ColdPacer.of(HostId.of("h" + host), () -> hosts), home, new SplittableRandom(host));

            assertThat(selector.best(SERVICE, Set.of(), 120, 0))
                    .as("host %d", host)
                    .hasValueSatisfying(
                            target -> assertThat(target.entry().domain()).isEqualTo(home));
        }
    }
}
