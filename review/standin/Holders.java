import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Watches which servers hold which keys, and notes where the rule OWNER is broken. It is the lock of all servers. */
final class Holders {

    private static final long HALF_SECOND = 500_000_000L;
    private static final long THAW = 300_000_000L;
    private static final int MAX_LINES = 40;

    private final List<Target> targets = new ArrayList<>();
    private final long[] sharedSince = new long[Target.KEYS];
    private final Set<String> breaks = new TreeSet<>();
    private long excusedUntil = Long.MIN_VALUE;
    private int lines;
    private long longestShared;

    synchronized void add(Target target) {
        targets.add(target);
    }

    /** Records that a link has healed: grants that arrive within {@code thaw-s} after it don't count. */
    synchronized void healed() {
        excusedUntil = System.nanoTime() + THAW;
    }

    boolean excused(long now) {
        return now < excusedUntil;
    }

    /** Checks a new grant: no other server may be at work on its keys before that one's hold would have run out. */
    synchronized void granted(Target to, int first, int last, long fence, long now) {
        for (Target other : targets) {
            if (other == to || !other.life().up || excused(now)) {
                continue;
            }
            for (Target.Running request : other.life().running.values()) {
                int key = request.key();
                boolean given = first <= key && key <= last && to.life().holdUntil[key] <= now;
                if (given && other.life().promisedUntil[key] > now) {
                    broken(
                            "given while another is at work",
                            "%s is given key %d (fence %d) while %s is at work on %s, %d ms before its hold ends",
                            to.id(),
                            key,
                            fence,
                            other.id(),
                            request.requestId(),
                            (other.life().promisedUntil[key] - now) / 1_000_000);
                }
            }
        }
    }

    /** Checks a request that begins: no other server that is up may hold its key. */
    synchronized void begun(Target at, int key, String requestId) {
        long now = System.nanoTime();
        if (!counts(at, key, now)) {
            return;
        }
        for (Target other : targets) {
            if (other != at && counts(other, key, now)) {
                RunRecord.line("note: %s begins %s on key %d, which %s holds too", at.id(), requestId, key, other.id());
            }
        }
    }

    private static boolean counts(Target target, int key, long now) {
        Target.Life life = target.life();
        return life.up && life.holdUntil[key] > now && !life.excused[key];
    }

    /** Checks which keys have had two holders for over half a second. */
    synchronized void sample() {
        long now = System.nanoTime();
        for (int key = 0; key < Target.KEYS; key++) {
            Target one = null;
            Target two = null;
            for (Target target : targets) {
                if (counts(target, key, now)) {
                    two = one;
                    one = target;
                    if (two != null) {
                        break;
                    }
                }
            }
            if (two == null) {
                sharedSince[key] = 0;
            } else if (sharedSince[key] == 0) {
                sharedSince[key] = now;
            } else if (now - sharedSince[key] > HALF_SECOND) {
                longestShared = Math.max(longestShared, now - sharedSince[key]);
                broken(
                        "two holders",
                        "key %d is held by %s and %s for over %d ms",
                        key,
                        two.id(),
                        one.id(),
                        (now - sharedSince[key]) / 1_000_000);
            }
        }
    }

    private void broken(String kind, String text, Object... values) {
        if (lines++ < MAX_LINES) {
            RunRecord.line("OWNER BROKEN: " + text, values);
        }
        if (breaks.add(kind)) {
            RunRecord.show("OWNER BROKEN: " + text, values);
        }
    }

    /** Returns how many keys of all are held by some server. */
    synchronized int held() {
        long now = System.nanoTime();
        int count = 0;
        for (int key = 0; key < Target.KEYS; key++) {
            for (Target target : targets) {
                if (target.life().up && target.life().holdUntil[key] > now) {
                    count++;
                    break;
                }
            }
        }
        return count;
    }

    synchronized Set<String> breaks() {
        return Set.copyOf(breaks);
    }

    synchronized long longestSharedMillis() {
        return longestShared / 1_000_000;
    }
}
