import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Semaphore;

/** A server of a service whose keys are granted. It can crash and start again under its id. */
final class Target {

    static final int KEYS = 65_536;
    private static final int SLOTS = 4;
    private static final int QUEUE = 16;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A request at work. */
    record Running(int key, String requestId) {}

    private final ObjectMapper json = new ObjectMapper();
    private final Store store;
    private final Holders holders;
    private final String id;
    private final String zone;
    private final double heartbeatSeconds;
    private final Random random;
    private int port;
    private Life life;
    private volatile double extraShare;
    private volatile int workMillis = 60;

    /** One life of the server: all that it forgets when it ends. */
    final class Life {
        final long born = System.currentTimeMillis();
        final long[] holdUntil = new long[KEYS];
        final long[] promisedUntil = new long[KEYS];
        final long[] fenceSeen = new long[KEYS];
        final boolean[] excused = new boolean[KEYS];
        final Map<Object, Running> running = new LinkedHashMap<>();
        final Semaphore slots = new Semaphore(SLOTS);
        final Semaphore places = new Semaphore(SLOTS + QUEUE);
        volatile boolean up = true;
        Listener listener;
        long sequence;
    }

    Target(Store store, Holders holders, String id, String zone, double heartbeatSeconds, Random random) {
        this.store = store;
        this.holders = holders;
        this.id = id;
        this.zone = zone;
        this.heartbeatSeconds = heartbeatSeconds;
        this.random = random;
    }

    String id() {
        return id;
    }

    Life life() {
        return life;
    }

    /** Sets the shortest time that a request takes; the longest is twice as long. */
    void workMillis(int millis) {
        workMillis = millis;
    }

    /** Sets the share of answers after which the server sends the answer again, late. */
    void extraShare(double share) {
        extraShare = share;
    }

    /** Starts the server: it listens first, and then registers at once. */
    void start() throws IOException {
        Life next = new Life();
        next.listener = Listener.start("127.0.0.1", port, (in, out) -> serve(next, in, out));
        port = next.listener.port();
        synchronized (holders) {
            life = next;
        }
        RunRecord.line("server %s up born=%d address=127.0.0.1:%d", id, next.born, port);
        register(next);
        Thread.ofVirtual().start(() -> heartbeat(next));
    }

    private void heartbeat(Life current) {
        try {
            while (current.up) {
                Thread.sleep((long) (heartbeatSeconds * 1000));
                if (current.up) {
                    register(current);
                }
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void register(Life current) {
        current.sequence++;
        store.write(
                "servers/" + id,
                """
                {"address":"127.0.0.1:%d","node-info":{"service":"keyed","version":"v1","zone":"%s","slots":%d},
                 "status":{"state":"ready","sequence":%d,"cold-left-s":0},"born":%d}
                """.formatted(port, zone, SLOTS, current.sequence, current.born));
    }

    /** Ends the server as a kill does: it sends nothing more, and all that it held is gone. */
    void crash() throws IOException {
        synchronized (holders) {
            life.up = false;
        }
        life.listener.crash();
        RunRecord.line("server %s crashes", id);
    }

    private void serve(Life current, InputStream in, OutputStream out) throws IOException, InterruptedException {
        byte[] extra = null;
        for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
            if (extra != null) {
                // The extra answer arrives where the next answer is expected.
                RunRecord.line("server %s sends an extra answer ahead of that to %s", id, call.firstLine());
                out.write(extra);
                out.flush();
                extra = null;
            }
            byte[] answer = answer(current, call);
            if (!current.up) {
                return;
            }
            out.write(answer);
            out.flush();
            if (call.method().equals("GET") && random.nextDouble() < extraShare) {
                extra = answer;
            }
        }
    }

    private byte[] answer(Life current, Wire.Message call) throws IOException, InterruptedException {
        return switch (call.target()) {
            case "/grant" -> status(grant(current, json.readTree(call.body())), Map.of());
            case "/release" -> release(current, json.readTree(call.body()));
            case "/health" -> status(200, Map.of("X-Instance-Id", id));
            default -> run(current, call);
        };
    }

    private static byte[] status(int status, Map<String, String> headers) {
        return Wire.bytes("HTTP/1.1 " + status + " -", headers, new byte[0]);
    }

    private int grant(Life current, JsonNode body) {
        int first = body.path("from").asInt();
        int last = body.path("target").asInt();
        long fence = body.path("fence").asLong();
        synchronized (holders) {
            for (int key = first; key <= last; key++) {
                if (current.fenceSeen[key] > fence) {
                    RunRecord.line("server %s refuses grant %d-%d fence %d", id, first, last, fence);
                    return 409;
                }
            }
            long now = System.nanoTime();
            long until = now + (long) (body.path("hold-s").asDouble() * NANOS_PER_SECOND);
            holders.granted(this, first, last, fence, now);
            for (int key = first; key <= last; key++) {
                current.fenceSeen[key] = fence;
                current.holdUntil[key] = until;
                current.promisedUntil[key] = until;
                current.excused[key] = holders.excused(now);
            }
        }
        RunRecord.line("server %s takes grant %d-%d fence %d", id, first, last, fence);
        return 200;
    }

    private byte[] release(Life current, JsonNode body) throws InterruptedException {
        int first = body.path("from").asInt();
        int last = body.path("target").asInt();
        long fence = body.path("fence").asLong();
        synchronized (holders) {
            RunRecord.line(
                    "server %s is asked to release %d-%d fence %d, at work on %d of its keys",
                    id, first, last, fence, working(current, first, last));
            for (int key = first; key <= last; key++) {
                current.fenceSeen[key] = Math.max(current.fenceSeen[key], fence);
                current.holdUntil[key] = 0;
            }
            while (working(current, first, last) > 0) {
                holders.wait();
            }
        }
        RunRecord.line("server %s has released %d-%d", id, first, last);
        return status(200, Map.of("X-Handover", "handover-" + id + "-" + fence + "-" + first));
    }

    private static long working(Life current, int first, int last) {
        return current.running.values().stream()
                .filter(request -> first <= request.key() && request.key() <= last)
                .count();
    }

    private byte[] run(Life current, Wire.Message call) throws InterruptedException {
        String requestId = call.header("X-Request-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", requestId);
        if (!call.header(Names.TARGET_INSTANCE).equals(id)) {
            headers.put("X-Instance-Id", id);
            headers.put("X-Not-Executed", "1");
            return status(421, headers);
        }
        if (!current.places.tryAcquire()) {
            headers.put("X-Not-Executed", "1");
            return status(503, headers);
        }
        try {
            current.slots.acquire();
            try {
                return work(current, call, requestId, headers);
            } finally {
                current.slots.release();
            }
        } finally {
            current.places.release();
        }
    }

    private byte[] work(Life current, Wire.Message call, String requestId, Map<String, String> headers)
            throws InterruptedException {
        int key = Integer.parseInt(call.header("X-Shard-Key"));
        Object token = new Object();
        synchronized (holders) {
            if (current.holdUntil[key] <= System.nanoTime()) {
                headers.put("X-Not-Executed", "1");
                return status(421, headers);
            }
            current.running.put(token, new Running(key, requestId));
            holders.begun(this, key, requestId);
        }
        RunRecord.line("server %s runs %s key %d", id, requestId, key);
        Thread.sleep(workMillis + random.nextInt(workMillis));
        synchronized (holders) {
            current.running.remove(token);
            holders.notifyAll();
        }
        headers.put(Names.SEAL, "seal-" + requestId);
        headers.put(Names.SERVER_LOAD, (SLOTS - current.slots.availablePermits()) + ",0," + SLOTS + ",100");
        byte[] body = ("ran " + requestId + " at " + id).getBytes(StandardCharsets.US_ASCII);
        return Wire.bytes("HTTP/1.1 200 OK", headers, body);
    }
}
