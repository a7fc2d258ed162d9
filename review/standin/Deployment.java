import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, servers of one service with keys, machines and callers. */
final class Deployment implements AutoCloseable {

    private static final double HEARTBEAT_SECONDS = 1.5;
    private static final String[] ZONES = {"palermo", "catania"};
    private static final String DESIRED_STATE =
            """
            {"version":"r1",
             "services":[{"name":"keyed","health-path":"/health","max-conns":130,"cold-start-s":3,"cold-per-s":100,
                          "sharded":true},
                         {"name":"plain","health-path":"/health","max-conns":130,"cold-start-s":3,"cold-per-s":100}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},
             "virtual-hosts":[{"host":"%s","path-routes":[
               {"name":"r-keyed","path-prefix":"/keyed/","kind":"safe","timeout-s":2,"target-latency-s":0.5,
                "priority":1,"service":"keyed","max-attempts":2},
               {"name":"r-plain","path-prefix":"/plain/","kind":"safe","timeout-s":2,"target-latency-s":0.5,
                "priority":1,"service":"plain","max-attempts":2},
               {"name":"r-order","path-prefix":"/order/","kind":"unsafe","timeout-s":2,"target-latency-s":0.5,
                "priority":1,"service":"plain","max-attempts":2}]}]}
            """
                    .formatted(Callers.HOST);

    final Store store = new Store();
    final Holders holders = new Holders();
    final List<Target> targets = new ArrayList<>();
    final List<Machine> machines = new ArrayList<>();
    final Random random;
    private final Path folder;
    private final Set<String> breaks = new TreeSet<>();
    private Callers callers;
    private volatile boolean closed;

    /**
     * The callers' requests.
     *
     * @param perSecond how many they send a second
     * @param busyShare the share of them that is about busy keys
     * @param busyKeys how many neighbouring keys are busy
     * @param busyMillis the time after which other keys are the busy ones
     */
    record Traffic(double perSecond, double busyShare, int busyKeys, long busyMillis) {}

    /** What a case does to a deployment that serves. */
    interface Trouble {
        void happen(Deployment deployment) throws IOException, InterruptedException;
    }

    private Deployment(Path folder, long seed) {
        this.folder = folder;
        this.random = new Random(seed);
    }

    /**
     * Runs a case and ends the program: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
     *
     * @param arguments the repository and the folder for the record
     * @param targetCount the servers of the service with keys; without any, the case starts servers and callers itself
     */
    static void run(String[] arguments, int machineCount, int targetCount, Traffic traffic, Trouble trouble) {
        int result = 2;
        Path folder = null;
        try {
            folder = Files.createTempDirectory("review");
            long seed = Long.parseLong(System.getenv().getOrDefault("SEED", Long.toString(System.nanoTime())));
            RunRecord.open(Path.of(arguments[1]).resolve("record.txt"));
            RunRecord.show("seed %d, trouble %s", seed, troubled());
            try (Deployment deployment = new Deployment(folder, seed)) {
                deployment.start(Path.of(arguments[0]), machineCount, targetCount);
                if (targetCount > 0) {
                    deployment.startCallers(traffic);
                }
                trouble.happen(deployment);
                result = deployment.result();
            }
        } catch (IOException | InterruptedException | IllegalStateException failed) {
            RunRecord.show("the case couldn't run: %s", failed);
        } finally {
            RunRecord.close();
            delete(folder);
        }
        System.exit(result);
    }

    /** Starts the callers, and lets the deployment serve for some seconds. */
    void startCallers(Traffic traffic) throws InterruptedException {
        callers.start(traffic.perSecond(), keys(traffic));
        Thread.sleep(6_000);
    }

    static boolean troubled() {
        return !System.getenv().getOrDefault("TROUBLE", "1").equals("0");
    }

    private void start(Path root, int machineCount, int targetCount) throws IOException, InterruptedException {
        store.write(Names.DESIRED_STATE, DESIRED_STATE);
        for (int i = 1; i <= targetCount; i++) {
            Target target = new Target(
                    store,
                    holders,
                    "i-" + i,
                    ZONES[i % ZONES.length],
                    HEARTBEAT_SECONDS,
                    new Random(random.nextLong()));
            target.start();
            targets.add(target);
            holders.add(target);
        }
        for (int i = 1; i <= machineCount; i++) {
            String name = "front-" + ZONES[i % ZONES.length] + "-" + i;
            machines.add(new Machine(root, folder, name, ZONES[i % ZONES.length], address(i), store.open(name)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> machines.forEach(Machine::kill)));
        for (Machine machine : machines) {
            machine.start(true);
        }
        Thread.ofPlatform().daemon().start(this::watch);
        callers = new Callers(machines, targetCount > 0 ? "/keyed/page" : "/plain/page");
        long end = System.nanoTime() + 25_000_000_000L;
        while (!machines.stream().allMatch(Machine::ready) || targetCount > 0 && holders.held() < Target.KEYS) {
            if (System.nanoTime() > end) {
                machines.forEach(machine -> RunRecord.show(
                        "machine %s: alive %s, ready %s", machine.name(), machine.alive(), machine.ready()));
                throw new IllegalStateException("the deployment isn't ready, " + holders.held() + " keys are held");
            }
            Thread.sleep(100);
        }
        RunRecord.show("all machines are ready%s", targetCount > 0 ? " and all keys are held" : "");
    }

    /** Returns a loopback address that no other run at the same time uses. */
    private static String address(int machine) {
        long process = ProcessHandle.current().pid();
        return "127." + (1 + process / 250 % 250) + "." + process % 250 + "." + (10 + machine);
    }

    private void watch() {
        try {
            while (!closed) {
                holders.sample();
                Thread.sleep(20);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns keys of which a few neighbours are busy; which they are changes from time to time. */
    private IntSupplier keys(Traffic traffic) {
        Random source = new Random(random.nextLong());
        int[] first = new int[1];
        long[] changesAt = new long[1];
        return () -> {
            if (System.nanoTime() > changesAt[0]) {
                first[0] = source.nextInt(Target.KEYS - traffic.busyKeys());
                changesAt[0] = System.nanoTime() + traffic.busyMillis() * 1_000_000;
            }
            return source.nextDouble() < traffic.busyShare()
                    ? first[0] + source.nextInt(traffic.busyKeys())
                    : source.nextInt(Target.KEYS);
        };
    }

    private int result() throws InterruptedException {
        callers.stop();
        Thread.sleep(2_000);
        for (Machine machine : machines) {
            if (!machine.alive()) {
                RunRecord.show("the process of %s ended by itself", machine.name());
                return 2;
            }
        }
        RunRecord.show("callers' outcomes: %s", callers.outcomes());
        if (callers.outcomes().getOrDefault("200", 0) == 0) {
            RunRecord.show("no request was served");
            return 2;
        }
        breaks.addAll(holders.breaks());
        RunRecord.show("the rule %s", breaks.isEmpty() ? "held" : "was broken: " + String.join(", ", breaks));
        if (holders.longestSharedMillis() > 0) {
            RunRecord.show("longest time with two holders %d ms", holders.longestSharedMillis());
        }
        return breaks.isEmpty() ? 0 : 1;
    }

    /** Notes that the rule was broken. */
    synchronized void broken(String kind, String text, Object... values) {
        if (breaks.add(kind)) {
            RunRecord.show(text, values);
        } else {
            RunRecord.line(text, values);
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        closed = true;
        for (Machine machine : machines) {
            machine.end();
        }
        String logs = System.getenv().getOrDefault("LOGS", "");
        if (!logs.isEmpty()) {
            for (Machine machine : machines) {
                Files.copy(
                        folder.resolve(machine.name() + ".out"),
                        Path.of(logs).resolve(machine.name() + ".out"),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException left) {
            System.err.println("left behind: " + folder);
        }
    }
}
