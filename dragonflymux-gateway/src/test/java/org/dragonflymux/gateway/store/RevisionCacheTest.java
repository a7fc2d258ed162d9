package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RevisionCacheTest {

    private final AtomicInteger decodings = new AtomicInteger();
    private final RevisionCache<Integer> cache = RevisionCache.of(item -> decodings.incrementAndGet());

    private static StoredItem item(String key, long revision) {
        return new StoredItem(key, new byte[0], revision);
    }

    @Test
    void decodes_a_value_once_per_revision() {
        cache.read(item("a", 1));
        cache.read(item("a", 1));
        assertThat(decodings).hasValue(1);

        assertThat(cache.read(item("a", 2))).isEqualTo(2);
    }

    @Test
    void decodes_a_key_again_after_its_eviction() {
        cache.read(item("a", 1));
        cache.read(item("b", 1));
        cache.retain(List.of("b"));

        assertThat(cache.read(item("a", 1))).isEqualTo(3);
        assertThat(cache.read(item("b", 1))).isEqualTo(2);
    }
}
