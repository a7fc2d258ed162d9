package org.dragonflymux.gateway.control.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.KeyRange;

/** Checks that no two targets hold or work on the same key, and that keys have an owner again once faults have ended. */
final class OwnershipChecker {

    /** How long two targets may hold the same key, in milliseconds. */
    private static final long MAX_SHARED_MILLIS = 500;
    /** How long a key may be without an owner while it moves. */
    private static final long MAX_MOVE_MILLIS = 500;
    /** How far back the calls are shown that led to a violation. */
    private static final long SHOWN_MILLIS = 8_000;

    private static final int MAX_VIOLATIONS = 20;

    private final LongSupplier clock;
    private final List<SimulatedTarget> targets;
    private final long[] sharedSince = new long[SimulatedTarget.KEYS];
    private final long[] lastHeldAt = new long[SimulatedTarget.KEYS];
    private final List<String> violations = new ArrayList<>();
    private final Deque<Call> recentCalls = new ArrayDeque<>();
    private long heldKeySamples;
    private long keySamples;

    /** A call that a target carried out. */
    private record Call(
            long at,
            String sender,
            String kind,
            TargetId target,
            long incarnation,
            KeyRange range,
            long fence,
            GrantResult result) {}

    OwnershipChecker(LongSupplier clock, List<SimulatedTarget> targets) {
        this.clock = clock;
        this.targets = targets;
    }

    /** Records a call for the description of violations. */
    void called(String sender, String kind, SimulatedTarget target, KeyRange range, long fence, GrantResult result) {
        long now = clock.getAsLong();
        recentCalls.addLast(new Call(now, sender, kind, target.id(), target.incarnation(), range, fence, result));
        while (recentCalls.getFirst().at() < now - SHOWN_MILLIS) {
            recentCalls.removeFirst();
        }
    }

    /** Checks a grant that a target is about to take. Grants that were held up on their way aren't to be passed in. */
    void grantTaken(SimulatedTarget taker, KeyRange range, long fence) {
        for (int key = SimulatedTarget.firstKey(range); key <= SimulatedTarget.lastKey(range); key++) {
            for (SimulatedTarget other : targets) {
                if (taker.previousIncarnationsFence(key) > fence) {
                    report("takes a key under a token below that of its earlier incarnation", taker, taker, key);
                    return;
                }
                if (other != taker && other.highestFence(key) >= fence) {
                    report("takes a key under a token that isn't above that of another", taker, other, key);
                    return;
                }
                if (other != taker && other.worksOn(key, clock.getAsLong())) {
                    report("is given a key on which another is at work", taker, other, key);
                    return;
                }
            }
        }
    }

    private void report(String event, SimulatedTarget taker, SimulatedTarget other, int key) {
        report("%s %s, %s".formatted(taker.id(), event, other.id()), key);
    }

    private void report(String event, int key) {
        if (violations.size() < MAX_VIOLATIONS) {
            int first = key * SimulatedTarget.KEY_STEP;
            violations.add("at %d ms, key %d: %s%n%s".formatted(clock.getAsLong(), first, event, callsFor(first)));
        }
    }

    private String callsFor(int key) {
        return recentCalls.stream()
                .filter(call -> call.range().contains(key))
                .map(call -> "  " + call)
                .collect(Collectors.joining("\n"));
    }

    /** Checks the present holders of all keys. */
    void sample() {
        long now = clock.getAsLong();
        for (int key = 0; key < SimulatedTarget.KEYS; key++) {
            int holders = countHolders(key, now);
            keySamples++;
            if (holders > 0) {
                heldKeySamples++;
                lastHeldAt[key] = now;
            }
            if (holders < 2) {
                sharedSince[key] = Long.MAX_VALUE;
            } else {
                sharedSince[key] = Math.min(sharedSince[key], now);
                if (now - sharedSince[key] > MAX_SHARED_MILLIS) {
                    report("two targets hold it", key);
                    sharedSince[key] = Long.MAX_VALUE;
                }
            }
        }
    }

    private int countHolders(int key, long now) {
        int holders = 0;
        for (SimulatedTarget target : targets) {
            holders += target.holds(key, now) ? 1 : 0;
        }
        return holders;
    }

    /** Checks that each key has an owner, or had one a moment ago. */
    void checkAllHeld() {
        for (int key = 0; key < SimulatedTarget.KEYS; key++) {
            if (lastHeldAt[key] < clock.getAsLong() - MAX_MOVE_MILLIS) {
                report("no target holds it since " + lastHeldAt[key] + " ms", key);
            }
        }
    }

    /** Returns the violations of the rules, with the calls that led to them. */
    List<String> violations() {
        return violations;
    }

    /** Returns the share of all keys and time in which a key was held. */
    double heldShare() {
        return (double) heldKeySamples / keySamples;
    }
}
