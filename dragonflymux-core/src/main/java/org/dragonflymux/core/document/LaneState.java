package org.dragonflymux.core.document;

/** Whether a lane's dispatcher may send to its target. */
public enum LaneState {
    /** The dispatcher sends. */
    OPEN,
    /** The dispatcher finishes what it sent and then gives the lane up. */
    CLOSING,
    /** The target is lost and owns no key; the dispatcher only looks for its return. */
    LOST
}
