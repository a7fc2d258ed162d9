package org.dragonflymux.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.stream.IntStream;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Test;

/** Guards against keeping an address for each of any number of names that one sender makes up. */
class RecentSendersTest {

    private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("127.0.0.1", 1);

    @Test
    void keeps_the_latest_senders_up_to_the_limit() {
        RecentSenders senders = new RecentSenders();
        HostId kept = HostId.of("kept");
        senders.record(kept, ADDRESS);
        for (int i = 0; i < 3 * RecentSenders.MAX_SENDERS; i++) {
            senders.record(HostId.of("h" + i), ADDRESS);
            senders.record(kept, ADDRESS);
        }

        assertThat(senders.addressOf(kept)).contains(ADDRESS);
        assertThat(IntStream.range(0, 3 * RecentSenders.MAX_SENDERS)
                        .filter(i -> senders.addressOf(HostId.of("h" + i)).isPresent())
                        .count())
                .isEqualTo(RecentSenders.MAX_SENDERS - 1);
    }
}
