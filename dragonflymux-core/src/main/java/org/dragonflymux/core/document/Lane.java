package org.dragonflymux.core.document;

import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.TargetId;

/**
 * A target and the one entry host that sends to it.
 *
 * @param target the target
 * @param dispatcher the only host that may send to the target, or null when no host can
 * @param fence the fencing token of the dispatcher's grants; it grows with each new dispatcher and each loss
 * @param state whether the dispatcher may send
 */
public record Lane(TargetId target, HostId dispatcher, long fence, LaneState state) {

    /** Returns this lane in another state. */
    public Lane withState(LaneState changed) {
        return new Lane(target, dispatcher, fence, changed);
    }
}
