import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A new version of the desired state raises {@code max-body-bytes}. Callers go on to use their connections, and place orders that the
 * new version allows. Counts the orders that are refused for their size on connections from before.
 */
final class RaisedLimits {

    private static final int CONNECTIONS = 20;
    private static final int ORDERS_BEFORE = 3;
    private static final int ORDERS_AFTER = 5;
    private static final double CONFIG_APPLY_SECONDS = 2;
    private static final int SMALL_BYTES = 1_000;
    private static final int LARGE_BYTES = 300_000;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 500;
    private static final String HOST = "shop.example";

    private static final String CONFIG = """
            {"version":"r%d","services":[{"name":"orders","health-path":"/health","max-conns":130,"cold-start-s":0,
              "cold-per-s":10.0}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":%d,"header-timeout-s":3,"idle-timeout-s":15},
             "virtual-hosts":[{"host":"shop.example","path-routes":[
               {"name":"r-1","path-prefix":"/orders/","kind":"unsafe","timeout-s":2,"target-latency-s":0.4,"priority":1,
                "service":"orders","max-attempts":2,"public":false}]}]}
            """;

    private final boolean trouble;
    private final Record record;
    private final Map<String, String> answers = new ConcurrentHashMap<>();

    private RaisedLimits(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Script.run(
                arguments, (root, folder, record, trouble) -> new RaisedLimits(trouble, record).run(root, folder));
    }

    private int run(Path root, Path folder) throws IOException, InterruptedException {
        int port = Gateways.freePorts(40);
        InetSocketAddress storeAddress = new InetSocketAddress(Gateways.STORE_IP, port + 30);
        Store store = Store.start(storeAddress);
        // Without trouble the limit has been the higher one from the start.
        store.put(Names.DESIRED_STATE, CONFIG.formatted(7, trouble ? 65_536 : 1_048_576));
        for (int i = 0; i < 4; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.17." + (100 + i), port + 31);
            new Target(store, record, "i-" + i, "orders", address, "zone-a", 8, this::work).start();
        }
        try (Gateways gateways = new Gateways(root, folder, storeAddress, port)) {
            if (!gateways.startAll(1, "zone-a")) {
                record.say("could not run: a gateway was not ready");
                return Script.COULD_NOT_RUN;
            }
            Thread.sleep(4_000);
            play(gateways.front(0), store);
        }
        return judge();
    }

    private byte[] work(Target target, Http.Message request) throws InterruptedException {
        Thread.sleep(30);
        return Target.text("order of " + request.body().length + " bytes placed");
    }

    private void play(InetSocketAddress front, Store store) throws IOException, InterruptedException {
        Thread[] callers = new Thread[CONNECTIONS];
        for (int i = 0; i < CONNECTIONS; i++) {
            callers[i] = Thread.ofVirtual().start(() -> placeOrders(front));
        }
        Thread.sleep(ORDERS_BEFORE * PAUSE_MILLIS / 2);
        store.put(Names.DESIRED_STATE, CONFIG.formatted(9, 1_048_576));
        record.add("the store has confirmed version r9, which allows bodies of 1048576 bytes");
        for (Thread caller : callers) {
            caller.join();
        }
    }

    /** Places small orders, waits until the new version must be in force, and places large ones on the same connection. */
    private void placeOrders(InetSocketAddress front) {
        try (Socket socket = new Socket()) {
            socket.connect(front, 1_000);
            socket.setSoTimeout((int) DEADLINE_MILLIS);
            var in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < ORDERS_BEFORE; i++) {
                place(socket, in, SMALL_BYTES);
                Thread.sleep(PAUSE_MILLIS);
            }
            Thread.sleep((long) (CONFIG_APPLY_SECONDS * 1_000) + 2_000);
            for (int i = 0; i < ORDERS_AFTER; i++) {
                if (!place(socket, in, LARGE_BYTES)) {
                    return;
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (IOException | InterruptedException failed) {
            record.add("a connection failed: " + failed);
        }
    }

    private boolean place(Socket socket, BufferedInputStream in, int bytes) throws IOException {
        String id = Caller.newId();
        List<Http.Field> fields = Caller.fields(HOST, id, DEADLINE_MILLIS, "");
        Http.write(socket.getOutputStream(), "POST /orders/1 HTTP/1.1", fields, new byte[bytes]);
        var answer = Http.read(in);
        String status = answer.map(message -> Integer.toString(message.status())).orElse("closed");
        answers.put(id, status);
        record.add("order " + id + " of " + bytes + " bytes answered: " + status);
        return answer.filter(message -> !message.closes()).isPresent();
    }

    private int judge() {
        long denied = answers.values().stream().filter("413"::equals).count();
        double allowed = 5 + answers.size() / 500.0;
        record.say(answers.size() + " orders, " + denied + " of them refused with 413, at most " + allowed + " may be");
        record.say(denied > allowed ? "DENIED is broken" : "held");
        return denied > allowed ? Script.BROKEN : Script.HELD;
    }
}
