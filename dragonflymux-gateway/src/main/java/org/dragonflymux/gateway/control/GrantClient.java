package org.dragonflymux.gateway.control;

import java.util.function.Consumer;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;

/** Sends grant and release calls to targets. */
public interface GrantClient {

    /** Grants keys to a target or renews the grant. */
    void grant(TargetEntry target, GrantEffect.Grant grant, long timeoutMillis, Consumer<GrantResult> result);

    /** Takes keys back; the target answers after its work on these keys has ended. */
    void release(TargetEntry target, GrantEffect.Release release, long timeoutMillis, Consumer<GrantResult> result);
}
