package org.dragonflymux.gateway.control;

import java.util.function.Consumer;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;

/** Calls to targets about the keys that they own. */
public interface GrantClient {

    /** Grants keys or renews the grant. */
    void grant(TargetEntry target, GrantEffect.Grant grant, long timeoutMillis, Consumer<GrantResult> result);

    /** Takes keys back; the target answers when the work on them has ended. */
    void release(TargetEntry target, GrantEffect.Release release, long timeoutMillis, Consumer<GrantResult> result);
}
