import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each server that begins to run it comes again and again. Counts in how many retries it reaches servers
 * after it has crashed the third and {@code stable-window-s} has passed.
 */
final class DeadlyRequest {

    private static final int GATEWAYS = 2;
    private static final int SERVERS = 8;
    private static final int SLOTS = 4;
    private static final double STABLE_WINDOW_SECONDS = 3;
    private static final int MAX_RETRIES = 3;
    private static final int CRASHES_BEFORE = 3;
    private static final int COPIES = 24;
    private static final long COPY_INTERVAL_MILLIS = 1_000;
    private static final long DOWN_MILLIS = 3_000;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final String HOST = "shop.example";
    private static final String KEY = "key-of-the-caller";
    private static final String DEADLY_PATH = "/lookup/17?page=2";

    private static final String CONFIG = """
            {"version":"r7","services":[{"name":"catalogue","health-path":"/health","max-conns":130,"cold-start-s":0,
              "cold-per-s":10.0}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":15},
             "tenants":[{"name":"tenant-1","api-keys":["key-of-the-caller"],"rate-per-s":0}],
             "virtual-hosts":[{"host":"shop.example","path-routes":[
               {"name":"r-1","path-prefix":"/lookup/","kind":"safe","timeout-s":2,"target-latency-s":0.3,"priority":2,
                "service":"catalogue","max-attempts":2,"public":false},
               {"name":"r-2","path-prefix":"/orders/","kind":"unsafe","timeout-s":2,"target-latency-s":0.4,"priority":1,
                "service":"catalogue","max-attempts":2,"public":false}]}]}
            """;

    /** The arrival of a copy of the deadly request at a server. */
    private record Arrival(String id, double at) {}

    private final boolean trouble;
    private final Record record;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Double> crashes = new CopyOnWriteArrayList<>();
    private final Map<String, String> ordersBegun = new ConcurrentHashMap<>();
    private final Map<String, String> ordersEnded = new ConcurrentHashMap<>();

    private DeadlyRequest(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) {
        Script.run(
                arguments,
                (root, folder, record, trouble) -> new DeadlyRequest(trouble, record).run(root, folder));
    }

    private int run(Path root, Path folder) throws IOException, InterruptedException {
        int port = Gateways.freePorts(40);
        InetSocketAddress storeAddress = new InetSocketAddress(Gateways.STORE_IP, port + 30);
        Store store = Store.start(storeAddress);
        store.put(Names.DESIRED_STATE, CONFIG);
        for (int i = 0; i < SERVERS; i++) {
            InetSocketAddress address = new InetSocketAddress("127.0.17." + (100 + i), port + 31);
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            new Target(store, record, "i-" + i, "catalogue", address, zone, SLOTS, this::work).start();
        }
        try (Gateways gateways = new Gateways(root, folder, storeAddress, port)) {
            if (!gateways.startAll(GATEWAYS, "zone-a")) {
                record.say("could not run: a gateway was not ready");
                return Script.COULD_NOT_RUN;
            }
            Thread.sleep(4_000);
            play(gateways);
        }
        return judge();
    }

    private byte[] work(Target target, Http.Message request) throws InterruptedException, Target.CrashException {
        String id = request.field("X-Request-Id").orElseThrow();
        if (request.word(1).equals(DEADLY_PATH)) {
            arrivals.add(new Arrival(id, record.seconds()));
            record.add("server " + target.id() + " begins copy " + id);
            if (trouble) {
                Thread.sleep(20);
                crashes.add(record.seconds());
                try {
                    target.crash(DOWN_MILLIS);
                } catch (IOException impossible) {
                    record.add("server " + target.id() + ": " + impossible);
                }
                throw new Target.CrashException();
            }
            return Target.text("page 2");
        }
        ordersBegun.put(id, target.id());
        Thread.sleep(200);
        return Target.text("order placed");
    }

    /** Sends copies of the deadly request in turn to all gateways, and other callers' orders all the while. */
    private void play(Gateways gateways) throws InterruptedException {
        AtomicInteger open = new AtomicInteger();
        for (int copy = 0; copy < COPIES; copy++) {
            InetSocketAddress to = gateways.front(copy % GATEWAYS);
            inBackground(open, () -> sendCopy(to));
            for (int i = 0; i < 20; i++) {
                InetSocketAddress front = gateways.front(i % GATEWAYS);
                inBackground(open, () -> sendOrder(front));
                Thread.sleep(COPY_INTERVAL_MILLIS / 20);
            }
        }
        while (open.get() > 0) {
            Thread.sleep(20);
        }
    }

    private static void inBackground(AtomicInteger open, Runnable action) {
        open.incrementAndGet();
        Thread.ofVirtual().start(() -> {
            try {
                action.run();
            } finally {
                open.decrementAndGet();
            }
        });
    }

    private void sendCopy(InetSocketAddress to) {
        String id = Caller.newId();
        record.add("copy " + id + " sent to " + to.getHostString());
        List<Http.Field> fields = Caller.fields(HOST, id, DEADLINE_MILLIS, KEY);
        String answer = Caller.send(to, "GET", DEADLY_PATH, fields, new byte[0], DEADLINE_MILLIS);
        record.add("copy " + id + " answered: " + answer);
    }

    private void sendOrder(InetSocketAddress to) {
        String id = Caller.newId();
        List<Http.Field> fields = Caller.fields(HOST, id, DEADLINE_MILLIS, KEY);
        String answer = Caller.send(to, "POST", "/orders/1", fields, Target.text("one disc"), DEADLINE_MILLIS);
        ordersEnded.put(id, answer);
        if (!answer.equals("200")) {
            record.add("order " + id + " answered: " + answer + ", begun at " + ordersBegun.get(id));
        }
    }

    private int judge() {
        long lost = ordersEnded.entrySet().stream()
                .filter(order -> ordersBegun.containsKey(order.getKey()) && !order.getValue().equals("200"))
                .count();
        record.say("the copies of the request crashed " + crashes.size() + " servers; " + ordersEnded.size()
                + " orders of other callers, of which " + lost + " were begun and got no success");
        if (!trouble) {
            boolean held = crashes.isEmpty() && arrivals.size() >= COPIES && lost == 0;
            record.say(held ? "held" : "could not run: without trouble, copies or orders got lost");
            return held ? Script.HELD : Script.COULD_NOT_RUN;
        }
        if (crashes.size() < CRASHES_BEFORE) {
            record.say("held: it crashed fewer than " + CRASHES_BEFORE + " servers");
            return Script.HELD;
        }
        List<Double> ordered = new ArrayList<>(crashes);
        ordered.sort(Comparator.naturalOrder());
        double from = ordered.get(CRASHES_BEFORE - 1) + STABLE_WINDOW_SECONDS;
        long retries = arrivals.stream()
                .filter(arrival -> arrival.at() > from)
                .map(Arrival::id)
                .distinct()
                .count();
        record.say(String.format(
                "it had crashed the third at %.3f s; later than %.3f s it reached servers in %d retries, %d are allowed",
                ordered.get(CRASHES_BEFORE - 1), from, retries, MAX_RETRIES));
        record.say(retries > MAX_RETRIES ? "BUDGET is broken" : "held");
        return retries > MAX_RETRIES ? Script.BROKEN : Script.HELD;
    }
}
