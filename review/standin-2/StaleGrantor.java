import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The store turns the grantor away for seven seconds, so that another host becomes the grantor and empties a zone, as the operator
 * asks. One of the eight servers, which has given its keys away, crashes and starts again under its id.
 */
public final class StaleGrantor {

    private static final double REFUSED_SECONDS = 7;
    private static final long DOWN_MILLIS = 2_000;
    private static final int SERVERS_PER_ZONE = 4;
    private static final int[] KEYS = IntStream.range(0, 32).map(i -> 1_000 + 2_048 * i).toArray();

    private StaleGrantor() {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        int result;
        try (Fleet fleet = new Fleet(record)) {
            result = run(fleet, record);
        } catch (Exception failure) {
            record.tell("trial: it couldn't run: %s", failure);
            result = Fleet.NOT_RUN;
        }
        record.tell("result: %d", result);
        record.close();
        System.exit(result);
    }

    private static boolean held(List<KeyServer> servers, int key) {
        return servers.stream().anyMatch(server -> server.fenceOf(key) > 0);
    }

    private static int run(Fleet fleet, Record record) throws Exception {
        PlatformStore store = fleet.store();
        store.write(
                Names.DESIRED_STATE,
                """
                {"version": "r1",
                 "virtual-hosts": [{"host": "land.example", "path-routes": [{"name": "ledger", "path-prefix": "/ledger/",
                   "kind": "safe", "service": "ledger", "timeout-s": 1, "target-latency-s": 0.3, "priority": 1,
                   "max-attempts": 3}]}],
                 "services": [{"name": "ledger", "health-path": "/health", "max-conns": 130, "cold-start-s": 0,
                   "cold-per-s": 10, "sharded": true, "warm-s": 0}],
                 "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-s": 5,
                   "idle-timeout-s": 15}}""");
        List<KeyServer> east = new ArrayList<>();
        List<KeyServer> west = new ArrayList<>();
        for (int i = 1; i <= SERVERS_PER_ZONE; i++) {
            east.add(new KeyServer("i-east-" + i, "east", fleet.ip(20 + i), 20, store, record));
            west.add(new KeyServer("i-west-" + i, "west", fleet.ip(30 + i), 20, store, record));
        }
        List<KeyServer> servers = Stream.concat(east.stream(), west.stream()).toList();
        HoldCheck check = new HoldCheck(servers, KEYS, record);
        for (KeyServer server : servers) {
            server.start();
        }
        fleet.startGateway("front-east-1", "east");
        fleet.startGateway("front-west-1", "west");
        fleet.startGateway("front-west-2", "west");
        boolean ready = fleet.await(
                "all gateways are ready and all keys have an owner",
                30,
                () -> fleet.gateways().stream().allMatch(GatewayProcess::ready)
                        && Arrays.stream(KEYS).allMatch(key -> held(servers, key)));
        if (!ready) {
            return Fleet.NOT_RUN;
        }
        check.start();
        List<Caller> callers = new ArrayList<>();
        for (GatewayProcess gateway : fleet.gateways()) {
            Caller caller = new Caller(gateway, KEYS, 10, record);
            callers.add(caller);
            caller.start();
        }
        Thread.sleep(3_000);
        String first = fleet.grantor();
        record.tell("trial: the grantor is %s", first);
        if (Fleet.trouble()) {
            store.refuse(first, true);
            record.tell("trial: the store turns %s away", first);
        }
        double refusedAt = record.seconds();
        Thread.sleep(1_000);
        store.write(Names.EVACUATION + "east", "{}");
        record.tell("trial: the operator empties the zone east");
        boolean moved = fleet.await(
                "the servers in the west hold all keys", 8, () -> Arrays.stream(KEYS).allMatch(key -> held(west, key)));
        if (!moved) {
            return Fleet.NOT_RUN;
        }
        record.tell("trial: the servers in the west hold all keys, the grantor is %s", fleet.grantor());
        if (Fleet.trouble()) {
            KeyServer crashing = east.getFirst();
            crashing.crash();
            Thread.sleep(DOWN_MILLIS);
            crashing.start();
            record.tell("trial: %s has crashed and started again", crashing.id());
        }
        Thread.sleep(Math.max(0, (long) (1_000 * (refusedAt + REFUSED_SECONDS - record.seconds()))));
        store.refuse(first, false);
        record.tell("trial: the store serves all machines");
        Thread.sleep(1_000);
        callers.forEach(Caller::stop);
        check.stop();
        if (!fleet.gateways().stream().allMatch(GatewayProcess::alive)) {
            record.tell("trial: a gateway has ended");
        }
        return check.broken() ? Fleet.BROKEN : Fleet.HELD;
    }
}
