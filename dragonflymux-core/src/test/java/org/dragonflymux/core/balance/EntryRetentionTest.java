package org.dragonflymux.core.balance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;
import org.junit.jupiter.api.Test;

class EntryRetentionTest {

    private static final TargetId ID = TargetId.of("t");

    private final EntryRetention retention = EntryRetention.empty();

    private static TargetEntry entry(boolean draining) {
        return new TargetEntry(ID, ServiceName.of("s"), "127.0.0.1:1", FailureDomain.of("a"), 3, draining, 0, 1);
    }

    @Test
    void an_entry_that_disappears_without_a_store_outage_is_dropped_at_once() {
        retention.replace(Map.of(ID, entry(false)), 0);
        retention.replace(Map.of(), 10_000);

        assertThat(retention.entries(10_000)).isEmpty();
    }

    @Test
    void an_entry_that_disappeared_during_a_store_outage_is_retained_until_targets_have_had_time_to_write_it_again() {
        retention.replace(Map.of(ID, entry(false)), 0);
        retention.storeRecovered(10_000);
        retention.replace(Map.of(), 10_010);

        assertThat(retention.entries(11_900)).containsExactly(entry(false));
        assertThat(retention.entries(12_300)).isEmpty();
    }

    @Test
    void a_draining_target_is_not_retained() {
        retention.replace(Map.of(ID, entry(true)), 0);
        retention.storeRecovered(10_000);
        retention.replace(Map.of(), 10_010);

        assertThat(retention.entries(10_010)).isEmpty();
    }
}
