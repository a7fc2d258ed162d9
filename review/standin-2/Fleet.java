import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

/** A small deployment on loopback addresses: the store, servers and gateway processes of one trial. */
final class Fleet implements AutoCloseable {

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private final Record record;
    private final PlatformStore store;
    private final Path root;
    private final Path folder;
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final String network =
            "127." + ThreadLocalRandom.current().nextInt(64, 192) + "." + ThreadLocalRandom.current().nextInt(1, 255);

    Fleet(Record record) throws IOException {
        this.record = record;
        this.store = new PlatformStore(record);
        this.root = Path.of(System.getProperty("trial.root"));
        this.folder = Path.of(System.getProperty("trial.folder"));
        Files.createDirectories(folder);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(GatewayProcess::kill)));
    }

    /** Returns whether the trial runs with its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    PlatformStore store() {
        return store;
    }

    List<GatewayProcess> gateways() {
        return gateways;
    }

    /** Returns a loopback address of this trial. */
    String ip(int number) {
        return network + "." + number;
    }

    GatewayProcess startGateway(String node, String zone) throws IOException {
        GatewayProcess gateway =
                new GatewayProcess(node, zone, ip(10 + gateways.size()), store.open(node), root, folder);
        gateways.add(gateway);
        gateway.start();
        return gateway;
    }

    /** Returns the name of the host that the store knows as the grantor, or an empty one. */
    String grantor() {
        String term = store.value("dragonfly/grantor");
        int start = term.indexOf("\"host\":\"") + 8;
        return term.isEmpty() ? "" : term.substring(start, term.indexOf('"', start));
    }

    /** Waits for a condition and returns whether it came true in time. */
    boolean await(String what, double seconds, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (condition.getAsBoolean()) {
                record.line("trial: %s", what);
                return true;
            }
            Thread.sleep(10);
        }
        record.tell("trial: not in %.1f s: %s", seconds, what);
        return false;
    }

    @Override
    public void close() {
        gateways.forEach(GatewayProcess::kill);
    }
}
