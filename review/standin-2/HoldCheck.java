import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rule OWNER on a few keys: whether two servers that are up hold a key at the same time, for how long, whether both
 * begin requests on it in that time, and whether a server takes a key with a fence number that isn't above all others'.
 */
final class HoldCheck implements KeyServer.Listener {

    private static final long STEP_MILLIS = 5;
    private static final double MAX_SECONDS = 0.5;

    private final List<KeyServer> servers;
    private final int[] keys;
    private final Record record;
    private final Map<Integer, Overlap> overlaps = new HashMap<>();
    private final Map<Integer, Map<String, Long>> highest = new HashMap<>();
    private final Map<String, Long> present = new HashMap<>();
    private int bothBegan;
    private int lowFences;
    private double longest;
    private double excusedUntil = -1;
    private volatile boolean stopped;

    private static final class Overlap {
        private final double since;
        private final Set<String> began = new HashSet<>();
        private boolean counted;
        private boolean excused;

        private Overlap(double since) {
            this.since = since;
        }
    }

    HoldCheck(List<KeyServer> servers, int[] keys, Record record) {
        this.servers = servers;
        this.keys = keys;
        this.record = record;
        servers.forEach(server -> server.listener(this));
    }

    void start() {
        Thread.ofPlatform().daemon().start(() -> {
            while (!stopped) {
                for (int key : keys) {
                    check(key);
                }
                try {
                    Thread.sleep(STEP_MILLIS);
                } catch (InterruptedException ended) {
                    return;
                }
            }
        });
    }

    private synchronized void check(int key) {
        Map<String, Long> holders = new HashMap<>();
        for (KeyServer server : servers) {
            long fence = server.fenceOf(key);
            if (fence > 0) {
                holders.put(server.id(), fence);
            }
            noteFence(server, key, fence);
        }
        Overlap overlap = overlaps.get(key);
        if (holders.size() < 2) {
            overlaps.remove(key);
            return;
        }
        if (overlap == null) {
            overlap = new Overlap(record.seconds());
            overlap.excused = overlap.since < excusedUntil;
            overlaps.put(key, overlap);
            record.line("check: key %d has two holders, with their fences: %s", key, holders);
        }
        if (overlap.excused) {
            return;
        }
        longest = Math.max(longest, record.seconds() - overlap.since);
        if (!overlap.counted && overlap.began.size() > 1) {
            overlap.counted = true;
            bothBegan++;
            record.line("check: both holders of key %d have begun requests on it", key);
        }
    }

    private void noteFence(KeyServer server, int key, long fence) {
        long before = present.getOrDefault(server.id() + key, 0L);
        present.put(server.id() + key, fence);
        if (fence == 0) {
            return;
        }
        Map<String, Long> ofKey = highest.computeIfAbsent(key, _ -> new HashMap<>());
        boolean low = ofKey.entrySet().stream()
                .anyMatch(other -> !other.getKey().equals(server.id()) && other.getValue() >= fence);
        if (fence != before && low && record.seconds() >= excusedUntil) {
            lowFences++;
            record.line("check: %s takes key %d with fence %d, others had %s", server.id(), key, fence, ofKey);
        }
        ofKey.merge(server.id(), fence, Math::max);
    }

    @Override
    public void began(KeyServer server, int key) {
        // The server's lock is held here, so the note is made elsewhere.
        Thread.ofVirtual().start(() -> {
            synchronized (this) {
                Overlap overlap = overlaps.get(key);
                if (overlap != null) {
                    overlap.began.add(server.id());
                }
            }
        });
    }

    /** Leaves out what begins in the next seconds, as a gateway was thawed. */
    synchronized void excuse(double seconds) {
        excusedUntil = record.seconds() + seconds;
    }

    void stop() {
        stopped = true;
    }

    /** Returns whether the rule was broken, and tells by what. */
    synchronized boolean broken() {
        record.tell(
                "OWNER: keys with requests begun by two holders at a time: %d; longest time with two holders: %.2f s (more than"
                        + " %.1f s breaks the rule); keys taken with a fence that isn't above the others': %d",
                bothBegan, longest, MAX_SECONDS, lowFences);
        return bothBegan > 0 || longest > MAX_SECONDS || lowFences > 0;
    }
}
