package org.dragonflymux.core.message;

import java.util.List;
import java.util.Set;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.DocumentKey;

/** The result of a call to the platform's store. */
public sealed interface StoreReply {

    record LeaseGranted(long lease) implements StoreReply {}

    /** A lease was renewed, or no longer exists. */
    record LeaseRenewed(boolean alive) implements StoreReply {}

    record LeaseRevoked() implements StoreReply {}

    /** The value was written, at the given revision. */
    record Written(long revision) implements StoreReply {}

    /** A condition of the write did not hold; nothing was written. */
    record Conflict() implements StoreReply {}

    /** The entries changed after the requested revision, up to the given one, and the number of sessions. */
    record Polled(List<StoredEntry> entries, long sessionCount, long revision) implements StoreReply {}

    /** All session keys as of a revision. */
    record Sessions(Set<DocumentKey> keys, long revision) implements StoreReply {}

    /** No reply arrived. A write may have taken effect, or may still do so. */
    record Unavailable() implements StoreReply {}
}
