package org.dragonflymux.core.configuration;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentError;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.document.HostRecord;
import org.dragonflymux.core.name.HostId;

/**
 * A host's replica of the project's keys in the store.
 *
 * <p>For each key, the entry with the highest store revision wins, so that delayed, duplicate and reordered entries
 * never revert a key. {@link #revision()} is the revision up to which the replica is complete. It never decreases.
 */
public final class ConfigurationReplica {

    private final Map<DocumentKey, StoredEntry> entries = new TreeMap<>();
    private final Map<DocumentKey, Document> documents = new HashMap<>();
    private final Map<Class<?>, TreeMap<DocumentKey, Document>> byType = new HashMap<>();
    private final Map<Class<?>, Long> changesByType = new HashMap<>();
    private final Consumer<DocumentKey> changeListener;
    private long revision;
    private Instant confirmedAt = Instant.MIN;

    private ConfigurationReplica(Consumer<DocumentKey> changeListener) {
        this.changeListener = changeListener;
    }

    /**
     * Returns an empty replica.
     *
     * @param changeListener receives the key of each changed entry
     */
    public static ConfigurationReplica empty(Consumer<DocumentKey> changeListener) {
        return new ConfigurationReplica(changeListener);
    }

    /**
     * Merges the complete set of entries changed between two revisions.
     *
     * @param changed all entries changed after {@code completeSince}
     * @param completeSince the requested start revision
     * @param completeTo the revision up to which the entries are complete
     */
    public void merge(Collection<StoredEntry> changed, long completeSince, long completeTo) {
        changed.forEach(this::mergeEntry);
        if (completeSince <= revision) {
            revision = Math.max(revision, completeTo);
        }
    }

    /** Merges a single entry, which does not change the revision up to which the replica is complete. */
    public void mergeEntry(StoredEntry entry) {
        StoredEntry known = entries.get(entry.key());
        if (known != null && known.revision() >= entry.revision()) {
            return;
        }
        entries.put(entry.key(), entry);
        decode(entry);
        changeListener.accept(entry.key());
    }

    private void decode(StoredEntry entry) {
        if (entry.deleted()) {
            index(entry.key(), documents.remove(entry.key()), null);
            return;
        }
        Either<List<DocumentError>, Document> decoded = DocumentCodec.fromJson(entry.json());
        // If this version cannot read a value, the last readable document remains in effect.
        decoded.forEach(document -> index(entry.key(), documents.put(entry.key(), document), document));
    }

    private void index(DocumentKey key, Document before, Document after) {
        if (before != null) {
            byType.get(before.getClass()).remove(key);
            changesByType.merge(before.getClass(), 1L, Long::sum);
        }
        if (after != null) {
            byType.computeIfAbsent(after.getClass(), _ -> new TreeMap<>()).put(key, after);
            changesByType.merge(after.getClass(), 1L, Long::sum);
        }
    }

    /**
     * Deletes the sessions that are absent from a full listing of the store.
     *
     * @param present the session keys in the store
     * @param listRevision the store revision of the listing
     */
    public void retainSessions(Set<DocumentKey> present, long listRevision) {
        Set<DocumentKey> absent = new HashSet<>(sessionKeys());
        absent.removeAll(present);
        absent.forEach(key -> mergeEntry(new StoredEntry(key, listRevision, null)));
    }

    /** Returns the keys of all sessions that have not been deleted. */
    public List<DocumentKey> sessionKeys() {
        TreeMap<DocumentKey, Document> sessions = byType.get(HostRecord.class);
        return sessions == null ? List.of() : List.copyOf(sessions.keySet());
    }

    /** Records that at the given instant the store contained nothing newer than {@link #revision()}. */
    public void confirm(Instant instant) {
        if (instant.isAfter(confirmedAt)) {
            confirmedAt = instant;
        }
    }

    /** Returns the time since the replica was last known to be up to date, or one day if it never was. */
    public Duration staleness(Instant now) {
        return confirmedAt.equals(Instant.MIN) ? Duration.ofDays(1) : Duration.between(confirmedAt, now);
    }

    /** Returns the entries changed after a revision, oldest first. */
    public List<StoredEntry> entriesSince(long since) {
        if (since >= revision) {
            return List.of();
        }
        List<StoredEntry> changed = new ArrayList<>();
        for (StoredEntry entry : entries.values()) {
            if (entry.revision() > since) {
                changed.add(entry);
            }
        }
        changed.sort(Comparator.comparingLong(StoredEntry::revision));
        return changed;
    }

    /** Returns the revision up to which the replica is complete. */
    public long revision() {
        return revision;
    }

    /** Returns the revision of the last change of a key, or 0 if the key does not exist. */
    public long revisionOf(DocumentKey key) {
        StoredEntry entry = entries.get(key);
        return entry == null || entry.deleted() ? 0 : entry.revision();
    }

    /** Returns the document with a key, if it exists and has the given type. */
    public <T extends Document> Optional<T> find(DocumentKey key, Class<T> type) {
        return Optional.ofNullable(documents.get(key)).filter(type::isInstance).map(type::cast);
    }

    /** Returns all documents of a type, ordered by key. */
    public <T extends Document> List<T> all(Class<T> type) {
        TreeMap<DocumentKey, Document> found = byType.get(type);
        return found == null
                ? List.of()
                : found.values().stream().map(type::cast).toList();
    }

    /** Returns a counter that is incremented whenever a document of the given type changes. */
    public long changes(Class<? extends Document> type) {
        return changesByType.getOrDefault(type, 0L);
    }

    /** Returns the record of an entry host, if its session exists. */
    public Optional<HostRecord> host(HostId host) {
        return host == null ? Optional.empty() : find(DocumentKey.session(host), HostRecord.class);
    }
}
