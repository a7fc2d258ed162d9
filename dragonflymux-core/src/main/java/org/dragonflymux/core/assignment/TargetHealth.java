package org.dragonflymux.core.assignment;

/** The health of a target as its dispatcher sees it. */
public enum TargetHealth {
    /** The target answers. */
    READY,
    /** The target has asked to receive no new requests. */
    LEAVING,
    /** The target has not answered yet, or does not answer but may still run requests. */
    UNCERTAIN,
    /** The target is gone, and no request that was sent to it can still start. */
    LOST
}
