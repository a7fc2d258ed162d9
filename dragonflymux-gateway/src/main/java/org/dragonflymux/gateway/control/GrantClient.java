package org.dragonflymux.gateway.control;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;

/** Sends grant and release calls to targets. */
public interface GrantClient {

    /**
     * Grants keys to a target or renews the grant. The result is {@link GrantResult.NotSent} if the connection that the grant asks
     * for isn't there.
     *
     * @param timeoutMillis the time after which an unanswered call fails
     * @param termConfirmed returns whether the lease of the sender's term is known to be valid. It is asked when the grant is
     *     written, since without the lease no new connection may be used.
     */
    void grant(
            TargetEntry target,
            GrantEffect.Grant grant,
            long timeoutMillis,
            BooleanSupplier termConfirmed,
            Consumer<GrantResult> result);

    /** Takes keys back; the target answers after its work on these keys has ended. */
    void release(TargetEntry target, GrantEffect.Release release, long timeoutMillis, Consumer<GrantResult> result);

    /** Handles the end of the sender's last term: no target counts as proven by it any longer. */
    void termEnded();
}
