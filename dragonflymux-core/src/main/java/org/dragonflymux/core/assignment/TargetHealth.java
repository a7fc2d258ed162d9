package org.dragonflymux.core.assignment;

/** What a dispatcher knows of its target. */
public enum TargetHealth {
    /** The target answers. */
    READY,
    /** The target asks for no new work. */
    LEAVING,
    /** Nothing is known yet, or the target is silent but may still run requests. */
    UNCERTAIN,
    /** The target is gone, and nothing that was sent to it can still start. */
    LOST
}
