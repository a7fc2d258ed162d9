package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayFrameTest {

    private static final StoreClient.Changes NOTHING = new StoreClient.Changes(List.of(), 9);

    private static RelayFrame frame(long ageMillis) {
        return new RelayFrame(false, NOTHING, ageMillis, 1_000, Optional.empty());
    }

    @Test
    void what_is_written_is_read() throws IOException {
        RelayFrame marked = frame(30).marked(Optional.of(new RelayFrame.Mark(5_000, 120)));

        assertThat(RelayFrame.decode(marked.encode())).isEqualTo(marked);
        assertThat(RelayFrame.decode(frame(30).encode())).isEqualTo(frame(30));
    }

    /** Guards against CONFIG: withdrawn credentials worked on, since news that had been held up was taken for fresh. */
    @Nested
    class Age {

        @Test
        void news_is_as_old_as_the_receivers_own_mark_says_however_late_it_comes() {
            // Sent 120 ms after the mark of 5,000 came, when the news was 30 ms old.
            RelayFrame frame = frame(30).marked(Optional.of(new RelayFrame.Mark(5_000, 120)));

            assertThat(frame.completeAt()).hasValue(5_090);
        }

        @Test
        void news_from_before_the_mark_is_older_than_the_mark() {
            RelayFrame frame = frame(400).marked(Optional.of(new RelayFrame.Mark(5_000, 120)));

            assertThat(frame.completeAt()).hasValue(4_720);
        }

        @Test
        void news_without_a_mark_has_no_age() {
            assertThat(frame(0).completeAt()).isEmpty();
        }
    }
}
