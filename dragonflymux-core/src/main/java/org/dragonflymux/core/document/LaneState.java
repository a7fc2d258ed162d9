package org.dragonflymux.core.document;

/** The state of a lane, which determines whether its dispatcher may send to its target. */
public enum LaneState {
    /** The dispatcher sends requests. */
    OPEN,
    /** The dispatcher sends no new requests, and releases the lane once those in flight have ended. */
    CLOSING,
    /** The target is lost and owns no keys. The dispatcher only checks whether the target has recovered. */
    LOST
}
