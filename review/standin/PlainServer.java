import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A server of a service without keys. A request whose body says so crashes it as it begins to run it. */
final class PlainServer {

    static final String DEADLY_BODY = "deadly";
    private static final int SLOTS = 4;
    private static final int WORK_MILLIS = 50;

    /** Is told of each request that a server begins to run. */
    interface Observer {
        void begun(PlainServer server, String requestId, boolean deadly);
    }

    private final Store store;
    private final String zone;
    private final int number;
    private final Observer observer;
    private final boolean deadlyRequestsCrash;
    private int lives;
    private String id;
    private volatile Listener listener;

    PlainServer(Store store, int number, String zone, boolean deadlyRequestsCrash, Observer observer) {
        this.store = store;
        this.number = number;
        this.zone = zone;
        this.deadlyRequestsCrash = deadlyRequestsCrash;
        this.observer = observer;
    }

    String id() {
        return id;
    }

    /** Starts the server under a new id. */
    void start() throws IOException {
        String previous = id;
        id = "p-" + number + "-" + ++lives;
        String current = id;
        listener = Listener.start("127.0.0.1", 0, (in, out) -> serve(current, in, out));
        if (previous != null) {
            store.remove("servers/" + previous);
        }
        store.write(
                "servers/" + id,
                """
                {"address":"127.0.0.1:%d","node-info":{"service":"plain","version":"v1","zone":"%s","slots":%d},
                 "status":{"state":"ready","sequence":1,"cold-left-s":0},"born":%d}
                """.formatted(listener.port(), zone, SLOTS, System.currentTimeMillis()));
        RunRecord.line("server %s up", id);
    }

    private void serve(String current, InputStream in, OutputStream out) throws IOException, InterruptedException {
        for (Wire.Message call = Wire.read(in); call != null; call = Wire.read(in)) {
            String requestId = call.header("X-Request-Id");
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Request-Id", requestId);
            if (!call.header("X-Target-Instance").equals(current)) {
                headers.put("X-Not-Executed", "1");
                out.write(Wire.bytes("HTTP/1.1 421 -", headers, new byte[0]));
                continue;
            }
            boolean deadly = new String(call.body(), StandardCharsets.US_ASCII).equals(DEADLY_BODY);
            RunRecord.line("server %s begins %s%s", current, requestId, deadly ? " (deadly)" : "");
            observer.begun(this, requestId, deadly);
            if (deadly && deadlyRequestsCrash) {
                RunRecord.line("server %s crashes", current);
                listener.crash();
                return;
            }
            Thread.sleep(WORK_MILLIS);
            headers.put("X-Response-Seal", "seal-" + requestId);
            out.write(Wire.bytes("HTTP/1.1 200 OK", headers, ("ran " + requestId).getBytes(StandardCharsets.US_ASCII)));
            out.flush();
        }
    }
}
