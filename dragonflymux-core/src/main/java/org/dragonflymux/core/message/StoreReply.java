package org.dragonflymux.core.message;

import java.util.List;
import java.util.Set;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.DocumentKey;

/** What became of a call to the platform's store. */
public sealed interface StoreReply {

    /** A lease was granted. */
    record LeaseGranted(long lease) implements StoreReply {}

    /** A lease was renewed, or is gone. */
    record LeaseRenewed(boolean alive) implements StoreReply {}

    /** A lease was revoked. */
    record LeaseRevoked() implements StoreReply {}

    /** A value was written at a revision. */
    record Written(long revision) implements StoreReply {}

    /** A condition of the write did not hold; nothing was written. */
    record Conflict() implements StoreReply {}

    /** The entries changed since the asked revision, complete up to a revision. */
    record Polled(List<StoredEntry> entries, long sessionCount, long revision) implements StoreReply {}

    /** All session keys at a revision. */
    record Sessions(Set<DocumentKey> keys, long revision) implements StoreReply {}

    /** No answer came; a write may have taken effect or may still do so. */
    record Unavailable() implements StoreReply {}
}
