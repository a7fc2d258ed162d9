package org.dragonflymux.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.DomainIntent;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationReplicaTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final FailureDomain DOMAIN = FailureDomain.of("a");

    private final ConfigurationReplica replica = ConfigurationReplica.empty(_ -> {});

    private static StoredEntry intent(long revision, boolean out) {
        DomainIntent intent = new DomainIntent(DOMAIN, out);
        return new StoredEntry(intent.key(), revision, DocumentCodec.toJson(intent));
    }

    private static StoredEntry session(String host, long revision) {
        HostRecord record = new HostRecord(HostId.of(host), DOMAIN, "127.0.0.1:1", 1, false);
        return new StoredEntry(record.key(), revision, DocumentCodec.toJson(record));
    }

    @Test
    void neverRevertsAKeyForAnyOrderOfEntries() {
        Random random = new Random(9);
        for (int round = 0; round < 100; round++) {
            List<StoredEntry> entries = new ArrayList<>();
            for (long revision = 1; revision <= 20; revision++) {
                entries.add(intent(revision, revision % 2 == 0));
            }
            entries.addAll(List.copyOf(entries));
            Collections.shuffle(entries, random);
            ConfigurationReplica copy = ConfigurationReplica.empty(_ -> {});
            long highest = 0;
            for (StoredEntry entry : entries) {
                copy.mergeEntry(entry);
                highest = Math.max(highest, entry.revision());
                assertThat(copy.revisionOf(entry.key())).isEqualTo(highest);
            }
            assertThat(copy.find(DocumentKey.domain(DOMAIN), DomainIntent.class))
                    .get()
                    .extracting(DomainIntent::out)
                    .isEqualTo(true);
        }
    }

    @Test
    void advancesItsRevisionOnlyByMergesWithoutAGap() {
        replica.merge(List.of(intent(5, true)), 0, 7);
        assertThat(replica.revision()).isEqualTo(7);
        replica.merge(List.of(), 9, 12);
        assertThat(replica.revision()).isEqualTo(7);
        replica.merge(List.of(), 7, 12);
        assertThat(replica.revision()).isEqualTo(12);
    }

    @Test
    void keepsTheLastReadableDocument() {
        replica.mergeEntry(intent(1, true));
        replica.mergeEntry(new StoredEntry(DocumentKey.domain(DOMAIN), 2, "{\"kind\":\"of a later version\"}"));
        assertThat(replica.find(DocumentKey.domain(DOMAIN), DomainIntent.class)).isPresent();
        assertThat(replica.all(DomainIntent.class)).hasSize(1);
    }

    @Nested
    class Sessions {

        @Test
        void absentFromAFullListingAreDeleted() {
            replica.mergeEntry(session("h1", 3));
            replica.mergeEntry(session("h2", 4));
            replica.retainSessions(Set.of(DocumentKey.session(HostId.of("h2"))), 9);
            assertThat(replica.host(HostId.of("h1"))).isEmpty();
            assertThat(replica.host(HostId.of("h2"))).isPresent();
            assertThat(replica.sessionKeys()).hasSize(1);
        }

        @Test
        void openedAfterTheListingAreRetained() {
            replica.mergeEntry(session("h1", 10));
            replica.retainSessions(Set.of(), 9);
            assertThat(replica.host(HostId.of("h1"))).isPresent();
        }
    }

    @Test
    void returnsDeletionsAmongTheEntriesSinceARevision() {
        replica.merge(List.of(intent(5, true), session("h1", 6)), 0, 6);
        replica.retainSessions(Set.of(), 8);
        replica.merge(List.of(), 6, 8);
        ConfigurationReplica other = ConfigurationReplica.empty(_ -> {});
        other.merge(List.of(session("h1", 6)), 0, 6);
        other.merge(replica.entriesSince(6), 6, replica.revision());
        assertThat(other.host(HostId.of("h1"))).isEmpty();
        assertThat(other.revision()).isEqualTo(8);
    }

    @Test
    void measuresStalenessFromTheLatestConfirmation() {
        replica.confirm(START.plusSeconds(5));
        replica.confirm(START);
        assertThat(replica.staleness(START.plusSeconds(7))).isEqualTo(Duration.ofSeconds(2));
    }
}
