package org.dragonflymux.standin.target;

/**
 * The faults to inject into a stand-in target.
 *
 * @param frozen whether the target hangs: it answers neither requests nor grants, and running requests do not end
 * @param slowFactor the factor by which the service time of each request is multiplied
 * @param cutAnswers whether the connection closes after half of the announced response
 * @param silentConnections whether connections that carried a request before the faults were set stop responding, while
 *     new connections work
 * @param crashOnPath a text; the process exits when it receives a request whose path contains the text; empty for none
 * @param shed whether the target declines every request as overloaded
 */
public record TargetFaults(
        boolean frozen,
        double slowFactor,
        boolean cutAnswers,
        boolean silentConnections,
        String crashOnPath,
        boolean shed) {

    public static final TargetFaults NONE = new TargetFaults(false, 1, false, false, "", false);
}
