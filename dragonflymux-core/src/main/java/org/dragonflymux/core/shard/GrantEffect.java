package org.dragonflymux.core.shard;

import java.util.Optional;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** What the grant duty wants done. */
public sealed interface GrantEffect {

    /**
     * Write a table under the condition that nothing newer is stored.
     *
     * @param service the service
     * @param table the new table
     * @param expectedRevision the revision of the stored table, 0 where there is none
     */
    record Persist(ServiceName service, ShardTable table, long expectedRevision) implements GrantEffect {}

    /**
     * Grant keys to a target or renew the grant.
     *
     * @param call names the call in its result
     * @param target the target
     * @param range the keys
     * @param fence the fencing token
     * @param holdMillis for how long
     * @param handover what the last owner handed over, if anything
     */
    record Grant(long call, TargetId target, KeyRange range, long fence, long holdMillis, Optional<String> handover)
            implements GrantEffect {}

    /**
     * Take keys back from a target.
     *
     * @param call names the call in its result
     * @param target the target
     * @param range the keys
     * @param fence the fencing token with which it owns them
     */
    record Release(long call, TargetId target, KeyRange range, long fence) implements GrantEffect {}
}
