package org.dragonflymux.standin.target;

/**
 * Faults of the stand-in target.
 *
 * @param frozen whether nothing moves, not even grants
 * @param slowFactor how many times longer each request takes
 * @param cutAnswers whether answers stop half-way
 * @param silentConnections whether connections that are open now go silent, while new ones work
 * @param crashOnPath a text; a request whose path has it ends the process; empty for none
 * @param shed whether each request is declined
 */
public record TargetFaults(
        boolean frozen,
        double slowFactor,
        boolean cutAnswers,
        boolean silentConnections,
        String crashOnPath,
        boolean shed) {

    /** No fault. */
    public static final TargetFaults NONE = new TargetFaults(false, 1, false, false, "", false);
}
