package org.dragonflymux.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.Move;
import org.dragonflymux.core.shard.ShardTable;
import org.junit.jupiter.api.Test;

class TableCodecTest {

    private static final ShardTable TABLE = new ShardTable(
            9,
            List.of(
                    new Assignment(new KeyRange(0, 99), TargetId.of("a"), 1_700_000_000_000L, 5, Optional.empty()),
                    new Assignment(
                            new KeyRange(100, 65_535),
                            TargetId.of("b"),
                            2,
                            6,
                            Optional.of(new Move(TargetId.of("a"), 1_700_000_000_000L, 9)))));

    @Test
    void decodes_encoded_tables() {
        assertThat(TableCodec.decode(TableCodec.encode(TABLE))).contains(TABLE);
        assertThat(TableCodec.decode(TableCodec.encode(ShardTable.EMPTY))).contains(ShardTable.EMPTY);
    }

    @Test
    void rejects_a_truncated_table() {
        byte[] encoded = TableCodec.encode(TABLE);
        for (int length = 0; length < encoded.length; length++) {
            assertThat(TableCodec.decode(Arrays.copyOf(encoded, length))).isEmpty();
        }
    }

    @Test
    void decodes_an_encoded_host_record_and_rejects_other_bytes() {
        FleetMember member = new FleetMember(HostId.of("h"), 5, FailureDomain.of("z"), "127.0.0.1:7100");

        assertThat(FleetRecords.member(FleetRecords.encode(member))).contains(member);
        assertThat(FleetRecords.member(new byte[] {1, 2})).isEmpty();
        assertThat(FleetRecords.member("{}".getBytes(java.nio.charset.StandardCharsets.UTF_8)))
                .isEmpty();
    }
}
