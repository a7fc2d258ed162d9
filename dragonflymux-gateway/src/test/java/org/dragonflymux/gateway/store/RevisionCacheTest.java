package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RevisionCacheTest {

    private final AtomicInteger reads = new AtomicInteger();
    private final RevisionCache<Integer> cache = RevisionCache.of(item -> reads.incrementAndGet());

    private static StoredItem item(String key, long revision) {
        return new StoredItem(key, new byte[0], revision);
    }

    @Test
    void a_value_is_read_once_until_it_changes() {
        cache.read(item("a", 1));
        cache.read(item("a", 1));
        assertThat(reads).hasValue(1);

        assertThat(cache.read(item("a", 2))).isEqualTo(2);
    }

    @Test
    void a_key_that_was_gone_is_read_anew() {
        cache.read(item("a", 1));
        cache.read(item("b", 1));
        cache.retain(List.of("b"));

        assertThat(cache.read(item("a", 1))).isEqualTo(3);
        assertThat(cache.read(item("b", 1))).isEqualTo(2);
    }
}
