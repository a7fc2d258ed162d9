package org.dragonflymux.core.shard;

import java.util.Optional;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** An action requested by the grant state machine. */
public sealed interface GrantEffect {

    /** The connection of a grant, which determines which process of the target gets it. */
    enum Connection {
        /** A proven one, or a new one if the lease is still valid when the grant is written to it. */
        ANY,
        /**
         * A proven one only. The process at its other end took a grant that was sent under a valid lease, so later grantors
         * have told it their fencing tokens or wait for its hold. A later incarnation may know of neither.
         */
        PROVEN
    }

    /**
     * Write a table if the stored table is unchanged.
     *
     * @param service the service
     * @param table the new table
     * @param expectedRevision the expected revision of the stored table, 0 if none must exist
     */
    record Persist(ServiceName service, ShardTable table, long expectedRevision) implements GrantEffect {}

    /**
     * Grant keys to a target or renew the grant.
     *
     * @param call the number that identifies the call in its result
     * @param target the target
     * @param range the keys
     * @param fence the fencing token
     * @param holdMillis the duration of the grant
     * @param handover the handover token of the previous owner, if any
     * @param connection the connection to use
     */
    record Grant(
            long call,
            TargetId target,
            KeyRange range,
            long fence,
            long holdMillis,
            Optional<String> handover,
            Connection connection)
            implements GrantEffect {}

    /**
     * Take keys back from a target.
     *
     * @param call the number that identifies the call in its result
     * @param target the target
     * @param range the keys
     * @param fence the fencing token under which the target owns the keys
     */
    record Release(long call, TargetId target, KeyRange range, long fence) implements GrantEffect {}
}
