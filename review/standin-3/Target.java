import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a server of a service without shard keys, by PROTOCOL.md. It writes its entry to the store and runs requests. */
final class Target {

    private static final long HEARTBEAT_MILLIS = 870;

    private final Store store;
    private final Record record;
    private final String id;
    private final String service;
    private final InetSocketAddress address;
    private final String zone;
    private final int slots;
    private final Work work;
    private final Semaphore freeSlots;
    private final AtomicInteger atWork = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private Listener listener;
    private volatile long born;
    private volatile boolean up;
    private volatile double leftAt = Double.POSITIVE_INFINITY;
    private volatile String state = "ready";

    /** What a server does with a request. */
    interface Work {

        /** Runs a request and returns its answer. */
        byte[] run(Target target, Http.Message request) throws InterruptedException, CrashException;
    }

    /** The server crashes while it runs a request. */
    static final class CrashException extends Exception {

        private static final long serialVersionUID = 1L;
    }

    Target(
            Store store,
            Record record,
            String id,
            String service,
            InetSocketAddress address,
            String zone,
            int slots,
            Work work) {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.address = address;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        this.freeSlots = new Semaphore(slots);
    }

    String id() {
        return id;
    }

    int atWork() {
        return atWork.get();
    }

    /** Begins a lifetime: listens and writes the entry to the store. */
    void start() throws IOException {
        born = System.currentTimeMillis();
        sequence.set(0);
        up = true;
        if (listener == null) {
            listener = Listener.start(address, this::handle);
        } else {
            listener.open();
        }
        long lifetime = born;
        Thread.ofVirtual().start(() -> beat(lifetime));
    }

    private void beat(long lifetime) {
        try {
            while (up && born == lifetime) {
                synchronized (this) {
                    if (up) {
                        store.put("servers/" + id, entry());
                    }
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private String entry() {
        return "{\"address\":\"" + address.getHostString() + ":" + address.getPort() + "\",\"born\":" + born
                + ",\"node-info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + zone
                + "\",\"slots\":" + slots + "},\"status\":{\"state\":\"" + state + "\",\"sequence\":"
                + sequence.incrementAndGet() + ",\"cold-left-s\":0}}";
    }

    /** Ends as a process that crashes, and starts again after a while under its id. */
    void crash(long downMillis) throws IOException {
        up = false;
        record.add("server " + id + " crashes with " + atWork.get() + " requests at work");
        listener.crash();
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(downMillis);
                start();
                record.add("server " + id + " has started again");
            } catch (IOException | InterruptedException failed) {
                record.add("server " + id + " could not start again: " + failed);
            }
        });
    }

    /** Leaves without a notice: the entry is removed, and the server serves for a while longer and ends then. */
    void leave(long servesMillis) throws InterruptedException, IOException {
        synchronized (this) {
            up = false;
            store.remove("servers/" + id);
        }
        leftAt = record.seconds();
        record.add("server " + id + " has left: its entry is removed");
        Thread.sleep(servesMillis);
        end();
    }

    /** Leaves with a notice: the entry says that it drains, and the server serves for a while longer and ends then. */
    void drain(long servesMillis) throws InterruptedException, IOException {
        synchronized (this) {
            state = "draining";
            store.put("servers/" + id, entry());
        }
        leftAt = record.seconds();
        record.add("server " + id + " drains");
        Thread.sleep(servesMillis);
        synchronized (this) {
            up = false;
            store.remove("servers/" + id);
        }
        end();
    }

    private void end() throws IOException {
        record.add("server " + id + " ends with " + atWork.get() + " requests at work");
        listener.crash();
    }

    /** Returns when the server said that it leaves, in seconds of the record; infinite if it didn't. */
    double leftAt() {
        return leftAt;
    }

    private boolean handle(Http.Message request, Socket connection) throws IOException, InterruptedException {
        if (request.word(1).equals("/health")) {
            answer(connection, "200 OK", List.of(new Http.Field("X-Instance-Id", id)), new byte[0]);
            return true;
        }
        String requestId = request.field("X-Request-Id").orElse("");
        Http.Field echo = new Http.Field("X-Request-Id", requestId);
        if (request.field(Names.EXPECTED_SERVER).filter(named -> !named.equals(id)).isPresent()) {
            answer(connection, "421 Misdirected Request", List.of(echo, new Http.Field("X-Instance-Id", id)), new byte[0]);
            return true;
        }
        if (requestId.isEmpty()) {
            answer(connection, "400 Bad Request", List.of(new Http.Field("X-Not-Executed", "1")), new byte[0]);
            return true;
        }
        freeSlots.acquire();
        atWork.incrementAndGet();
        byte[] body;
        try {
            body = work.run(this, request);
        } catch (CrashException crashes) {
            return false;
        } finally {
            atWork.decrementAndGet();
            freeSlots.release();
        }
        List<Http.Field> fields = new ArrayList<>(List.of(echo, new Http.Field(Names.SEAL, id + "." + requestId)));
        fields.add(new Http.Field(Names.LOAD, atWork.get() + ",0," + slots + ",100"));
        answer(connection, "200 OK", fields, body);
        return true;
    }

    private static void answer(Socket connection, String status, List<Http.Field> fields, byte[] body)
            throws IOException {
        Http.write(connection.getOutputStream(), "HTTP/1.1 " + status, fields, body);
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
