package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayFrameTest {

    private static final StoreClient.Changes NO_CHANGES = new StoreClient.Changes(List.of(), 9);

    private static RelayFrame frame(long ageMillis) {
        return new RelayFrame(false, NO_CHANGES, ageMillis, 1_000, Optional.empty());
    }

    @Test
    void decodes_encoded_frames() throws IOException {
        RelayFrame frameWithEcho = frame(30).withEcho(Optional.of(new RelayFrame.EchoTimestamp(5_000, 120)));

        assertThat(RelayFrame.decode(frameWithEcho.encode())).isEqualTo(frameWithEcho);
        assertThat(RelayFrame.decode(frame(30).encode())).isEqualTo(frame(30));
    }

    /** Guards against accepting revoked credentials because delayed updates were taken for fresh ones. */
    @Nested
    class Age {

        @Test
        void completion_time_is_derived_from_the_echo_timestamp_not_from_the_arrival() {
            // The frame was sent 120 ms after the timestamp 5,000 arrived, when the changes were 30 ms old.
            RelayFrame frame = frame(30).withEcho(Optional.of(new RelayFrame.EchoTimestamp(5_000, 120)));

            assertThat(frame.completeAt()).hasValue(5_090);
        }

        @Test
        void updates_older_than_the_echo_timestamp_were_complete_before_it() {
            RelayFrame frame = frame(400).withEcho(Optional.of(new RelayFrame.EchoTimestamp(5_000, 120)));

            assertThat(frame.completeAt()).hasValue(4_720);
        }

        @Test
        void completion_time_is_unknown_without_an_echo_timestamp() {
            assertThat(frame(0).completeAt()).isEmpty();
        }
    }
}
