package org.dragonflymux.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.quota.RateMessage;
import org.junit.jupiter.api.Test;

class RateCodecTest {

    private static final RateMessage ASK = new RateMessage.Ask(
            HostId.of("a"),
            12,
            HostId.of("b"),
            Optional.of(HostId.of("c")),
            List.of(new RateMessage.Demand(CustomerName.of("x"), 7, 8, 2, 5, 100, 3)));
    private static final RateMessage LEND = new RateMessage.Lend(
            HostId.of("b"),
            HostId.of("a"),
            Optional.empty(),
            List.of(new RateMessage.Loan(CustomerName.of("x"), 7, 8, 4, 60)));

    @Test
    void encoded_messages_decode_to_the_same_messages() {
        assertThat(RateCodec.decode(RateCodec.encode(ASK))).contains(ASK);
        assertThat(RateCodec.decode(RateCodec.encode(LEND))).contains(LEND);
    }

    @Test
    void truncated_and_unknown_messages_are_rejected() {
        byte[] encoded = RateCodec.encode(ASK);
        for (int length = 0; length < encoded.length; length++) {
            assertThat(RateCodec.decode(Arrays.copyOf(encoded, length))).isEmpty();
        }
        assertThat(RateCodec.decode(new byte[] {99, 1, 2})).isEmpty();
    }
}
