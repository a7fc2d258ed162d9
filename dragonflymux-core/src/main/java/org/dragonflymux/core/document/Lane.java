package org.dragonflymux.core.document;

import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;

/**
 * A target and the only entry host that sends requests to it.
 *
 * @param dispatcher the only host that may send to the target, or null if there is no such host
 * @param fence the fencing token of the dispatcher's grants, which increases with each change of dispatcher and each
 *     loss of the target
 * @param state whether the dispatcher may send
 */
public record Lane(TargetId target, HostId dispatcher, long fence, LaneState state) {

    public Lane withState(LaneState changed) {
        return new Lane(target, dispatcher, fence, changed);
    }
}
