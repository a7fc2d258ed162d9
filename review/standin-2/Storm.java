import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Plays drawn disruptions against a small deployment and checks OWNER, TWICE, REFUSED, MIXED and UNASKED, and that each request
 * is answered. It serves to find faults; a finding becomes a case of its own.
 */
public final class Storm {

    private static final int[] KEYS = IntStream.range(0, 16).map(i -> 1_000 + 4_096 * i).toArray();
    private static final int SERVERS_PER_ZONE = 4;
    private static final AtomicLong LAST_ID = new AtomicLong();

    private final Record record;
    private final Fleet fleet;
    private final Random random;
    private final List<KeyServer> ledger = new ArrayList<>();
    private final List<KeyServer> orders = new ArrayList<>();
    private final Map<String, String> sent = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger violations = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger successes = new AtomicInteger();
    private volatile boolean stopped;
    private volatile boolean quiet;
    private final Set<String> served = ConcurrentHashMap.newKeySet();
    private HoldCheck check;

    private Storm(Record record, Fleet fleet, long seed) {
        this.record = record;
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        int result;
        try (Fleet fleet = new Fleet(record)) {
            Storm storm = new Storm(record, fleet, Long.parseLong(arguments[1]));
            result = storm.run(Integer.parseInt(arguments[2]));
        } catch (Exception failure) {
            record.tell("trial: it couldn't run: %s", failure);
            result = Fleet.NOT_RUN;
        }
        record.tell("result: %d", result);
        record.close();
        System.exit(result);
    }

    private void violation(String format, Object... values) {
        violations.incrementAndGet();
        record.tell("VIOLATION " + format, values);
    }

    private int run(int seconds) throws Exception {
        PlatformStore store = fleet.store();
        store.write(
                Names.DESIRED_STATE,
                """
                {"version": "r1",
                 "virtual-hosts": [{"host": "land.example", "path-routes": [
                  {"name": "ledger", "path-prefix": "/ledger/", "kind": "safe", "service": "ledger", "timeout-s": 1,
                   "target-latency-s": 0.3, "priority": 1, "max-attempts": 3},
                  {"name": "orders", "path-prefix": "/orders/", "kind": "unsafe", "service": "orders", "timeout-s": 1.2,
                   "target-latency-s": 0.4, "priority": 0, "max-attempts": 3}]}],
                 "services": [{"name": "ledger", "health-path": "/health", "max-conns": 130, "cold-start-s": 0,
                   "cold-per-s": 10, "sharded": true, "warm-s": 0},
                  {"name": "orders", "health-path": "/health", "max-conns": 130, "cold-start-s": 0, "cold-per-s": 10}],
                 TENANTS"limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-s": 5,
                   "idle-timeout-s": 15}}"""
                        .replace(
                                "TENANTS",
                                Boolean.getBoolean("trial.tenants")
                                        ? "\"tenants\": [{\"name\": \"one\", \"api-keys\": [\"k1\"], \"rate-per-s\": 3000, \"burst\": 1000}],"
                                        : ""));
        for (int i = 1; i <= SERVERS_PER_ZONE; i++) {
            for (String zone : List.of("east", "west")) {
                int base = zone.equals("east") ? 20 : 30;
                ledger.add(new KeyServer("i-" + zone + "-" + i, zone, fleet.ip(base + i), 20, store, record));
                orders.add(new KeyServer(
                        "o-" + zone + "-" + i, "orders", false, zone, fleet.ip(base + 20 + i), 20, store, record));
            }
        }
        check = new HoldCheck(ledger, KEYS, record);
        KeyServer.Listener listener = new KeyServer.Listener() {
            @Override
            public void began(KeyServer server, int key) {
                check.began(server, key);
            }

            @Override
            public void ran(KeyServer server, Http.Message request) {
                ranAt(server, request);
            }
        };
        for (KeyServer server : ledger) {
            server.listener(listener);
            server.start();
        }
        for (KeyServer server : orders) {
            server.listener(listener);
            server.start();
        }
        fleet.startGateway("front-east-1", "east");
        fleet.startGateway("front-west-1", "west");
        fleet.startGateway("front-west-2", "west");
        if (!fleet.await("ready", 30, () -> fleet.gateways().stream().allMatch(GatewayProcess::ready)
                && Arrays.stream(KEYS).allMatch(key -> ledger.stream().anyMatch(server -> server.fenceOf(key) > 0)))) {
            return Fleet.NOT_RUN;
        }
        check.start();
        for (GatewayProcess gateway : fleet.gateways()) {
            for (int i = 0; i < 3; i++) {
                Thread.ofVirtual().start(() -> call(gateway, false));
                Thread.ofVirtual().start(() -> call(gateway, true));
            }
        }
        Thread.sleep(2_000);
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            int index = random.nextInt(18);
            double length = 0.5 + random.nextDouble() * 6;
            Thread.ofVirtual().start(() -> {
                try {
                    disrupt(index, length);
                } catch (Exception failure) {
                    record.tell("trial: disruption %d: %s", index, failure);
                }
            });
            Thread.sleep(200 + random.nextInt(Integer.getInteger("trial.gap", 2_500)));
        }
        Thread.sleep(15_000);
        quiet = true;
        Thread.sleep(4_000);
        for (GatewayProcess gateway : fleet.gateways()) {
            for (int key : KEYS) {
                if (!served.contains(gateway.node() + key)) {
                    violation("key %d isn't served at %s though all is quiet", key, gateway.node());
                }
            }
        }
        stopped = true;
        Thread.sleep(3_000);
        check.stop();
        fleet.gateways().forEach(gateway -> {
            if (!gateway.alive()) {
                violation("%s is not alive", gateway.node());
            }
        });
        statuses.forEach((id, status) -> {
            if (sent.getOrDefault(id, "").startsWith("POST")
                    && (status == 503 || status == 429 || status == 408 || status == 421)
                    && runs.containsKey(id)) {
                violation("REFUSED %s got %d and ran", id, status);
            }
        });
        record.tell("requests %d, answered %d, successes %d", sent.size(), answered.get(), successes.get());
        if (check.broken()) {
            violation("OWNER");
        }
        return violations.get() > 0 ? Fleet.BROKEN : Fleet.HELD;
    }

    private void ranAt(KeyServer server, Http.Message request) {
        String id = request.header("X-Request-Id");
        String expected = sent.get(id);
        String got = request.method() + " " + request.target() + " " + request.text();
        if (!got.equals(expected)) {
            violation("UNASKED %s ran %s as %s, sent was %s", server.id(), id, got, expected);
        }
        record.line("server %s runs %s", server.id(), id);
        if (runs.merge(id, 1, Integer::sum) > 1 && request.method().equals("POST")) {
            violation("TWICE %s ran again, at %s", id, server.id());
        }
    }

    private GatewayProcess gateway() {
        return fleet.gateways().get(random.nextInt(fleet.gateways().size()));
    }

    private GatewayProcess leader() {
        return fleet.gateways().stream()
                .filter(each -> each.node().equals(fleet.grantor()))
                .findFirst()
                .orElseGet(this::gateway);
    }

    private KeyServer server() {
        List<KeyServer> all = random.nextInt(3) > 0 ? ledger : orders;
        return all.get(random.nextInt(all.size()));
    }

    private void pause(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1_000));
    }

    private synchronized GatewayProcess pickGateway() {
        return random.nextBoolean() ? leader() : gateway();
    }

    private void disrupt(int index, double length) throws Exception {
        PlatformStore store = fleet.store();
        GatewayProcess gateway = pickGateway();
        KeyServer server;
        synchronized (this) {
            server = server();
        }
        String subject = index < 6 ? gateway.node() : server.id();
        record.line("disruption %d on %s for %.1f s", index, subject, length);
        if (index >= 3 && index <= 5) {
            if (gateway.take()) {
                stopAndStart(index, gateway, length);
                gateway.giveBack();
            }
            return;
        }
        switch (index) {
            case 0, 1, 2 -> {
                store.mode(gateway.node(), PlatformStore.Mode.values()[1 + index]);
                pause(length * 1.4);
                check.excuse(0.3);
                store.mode(gateway.node(), PlatformStore.Mode.SERVES);
            }
            case 6, 7, 8 -> {
                if (server.up()) {
                    server.crash();
                    pause(0.3 + length / 2);
                    if (Boolean.getBoolean("trial.newIds")) {
                        server.startAnew();
                    } else {
                        server.start();
                    }
                }
            }
            case 9 -> {
                server.cutFromStore(true);
                pause(length * 1.5);
                server.cutFromStore(false);
            }
            case 10 -> {
                ledger.forEach(each -> each.lateGrants(0.4));
                pause(length);
                ledger.forEach(each -> each.lateGrants(0));
            }
            case 11 -> {
                orders.forEach(each -> each.spoilAnswers(0.05, 0.05, 0.05));
                ledger.forEach(each -> each.spoilAnswers(0.05, 0.05, 0.05));
                pause(length);
                orders.forEach(each -> each.spoilAnswers(0, 0, 0));
                ledger.forEach(each -> each.spoilAnswers(0, 0, 0));
            }
            case 12 -> {
                String zone = length > 3 ? "east" : "west";
                store.write(Names.EVACUATION + zone, "{}");
                pause(length);
                store.remove(Names.EVACUATION + zone);
            }
            case 13 -> {
                store.loseAnswers(0.3, 0.2);
                pause(length);
                store.loseAnswers(0, 0);
            }
            case 14 -> {
                store.delay(200);
                pause(length);
                store.delay(4);
            }
            case 15 -> store.discardHistory();
            case 17 -> {
                PlatformStore.Mode mode = PlatformStore.Mode.values()[1 + (int) (length * 10) % 3];
                fleet.gateways().forEach(each -> store.mode(each.node(), mode));
                pause(length / 1.5);
                check.excuse(0.3);
                fleet.gateways().forEach(each -> store.mode(each.node(), PlatformStore.Mode.SERVES));
            }
            case 16 -> {
                server.drain(true);
                pause(length);
                server.drain(false);
            }
            default -> throw new IllegalStateException();
        }
    }

    private void stopAndStart(int index, GatewayProcess gateway, double length) throws Exception {
        switch (index) {
            case 3 -> {
                gateway.kill();
                pause(0.3 + length / 6);
                gateway.start();
            }
            case 4 -> {
                gateway.signal("STOP");
                pause(length * 0.8);
                check.excuse(0.3);
                gateway.signal("CONT");
            }
            case 5 -> {
                gateway.signal("TERM");
                pause(6.2);
                gateway.kill();
                gateway.start();
            }
            default -> throw new IllegalStateException();
        }
    }

    private void call(GatewayProcess gateway, boolean unsafe) {
        Socket connection = null;
        while (!stopped) {
            String id = "r" + LAST_ID.incrementAndGet();
            int key = KEYS[(int) (Math.random() * KEYS.length)];
            String path = unsafe ? "/orders/" + id : "/ledger/" + key;
            String body = unsafe ? "body of " + id : "";
            String request = (unsafe ? "POST " : "GET ") + path;
            try {
                if (connection == null) {
                    connection = new Socket();
                    connection.setTcpNoDelay(true);
                    connection.connect(new InetSocketAddress(gateway.ip(), gateway.port()), 1_000);
                    connection.setSoTimeout(9_000);
                }
                sent.put(id, request + " " + body);
                long sentAt = System.nanoTime();
                Http.write(
                        connection.getOutputStream(),
                        request + " HTTP/1.1",
                        Map.of(
                                "Host", "land.example",
                                "X-Request-Id", id,
                                Names.DEADLINE, "1500",
                                Names.CREDENTIAL, "k1",
                                "X-Shard-Key", Integer.toString(key)),
                        body.getBytes(StandardCharsets.US_ASCII));
                Http.Message answer = Http.read(connection.getInputStream());
                double took = (System.nanoTime() - sentAt) / 1e9;
                if (answer == null) {
                    record.line("caller: %s no answer from %s", id, gateway.node());
                    connection = null;
                    continue;
                }
                answered.incrementAndGet();
                record.line("caller: %s got %d from %s after %.2f s", id, answer.status(), gateway.node(), took);
                checkAnswer(id, answer);
                if (quiet && !unsafe && answer.status() == 200) {
                    served.add(gateway.node() + key);
                }
                if (answer.header("Connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (SocketTimeoutException silent) {
                violation("no answer in 9 s to %s from %s", id, gateway.node());
                connection = null;
            } catch (IOException broken) {
                record.line("caller: %s broken at %s: %s", id, gateway.node(), broken);
                connection = null;
            }
            try {
                Thread.sleep(connection == null ? 100 : 15);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private void checkAnswer(String id, Http.Message answer) {
        statuses.put(id, answer.status());
        if (answer.status() / 100 == 2) {
            successes.incrementAndGet();
            boolean sealed = answer.header(Names.SEAL).equals("seal-" + id);
            if (!sealed || !answer.text().endsWith(" to " + id) || !runs.containsKey(id)) {
                violation("MIXED %s got %s %s %s", id, answer.first(), answer.headers(), answer.text());
            }
        } else if (!answer.header("X-Request-Id").isEmpty()
                && !answer.header("X-Request-Id").equals(id)) {
            violation("MIXED %s got the answer to %s", id, answer.header("X-Request-Id"));
        }
    }
}
