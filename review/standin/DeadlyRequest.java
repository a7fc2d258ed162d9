import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One request crashes each server that begins to run it, and comes again at all machines in turn. */
final class DeadlyRequest {

    private static final Deployment.Traffic TRAFFIC = new Deployment.Traffic(20, 0, 1, 1_000);
    private static final int SERVERS = 8;
    private static final int TIMES = 20;
    private static final int PAUSE_MILLIS = 2_000;
    private static final int DOWN_MILLIS = 3_000;
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int MAX_RETRIES = 3;

    private final Deployment deployment;
    private final Set<String> lateRetries = new LinkedHashSet<>();
    private int crashes;
    private long thirdCrashAt = Long.MAX_VALUE;

    private DeadlyRequest(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) {
        Deployment.run(
                arguments,
                2,
                0,
                TRAFFIC,
                deployment -> new DeadlyRequest(deployment).sendAgainAndAgain());
    }

    private void sendAgainAndAgain() throws IOException, InterruptedException {
        for (int i = 1; i <= SERVERS; i++) {
            String zone = i % 2 == 0 ? "palermo" : "catania";
            new PlainServer(deployment.store, i, zone, Deployment.troubled(), this::begun).start();
        }
        Thread.sleep(1_000);
        deployment.startCallers(TRAFFIC);
        for (int i = 0; i < TIMES; i++) {
            send(String.format("dead%012x", i), deployment.machines.get(i % deployment.machines.size()));
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private void send(String id, Machine machine) {
        RunRecord.line("caller sends the request as %s to %s", id, machine.name());
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip(), machine.frontPort()), 1_000);
            socket.setSoTimeout(3_000);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", Callers.HOST);
            headers.put("X-Request-Id", id);
            headers.put("X-Deadline-Ms", "1500");
            headers.put("Connection", "close");
            byte[] body = PlainServer.DEADLY_BODY.getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(Wire.bytes("POST /plain/deadly HTTP/1.1", headers, body));
            Wire.Message answer = Wire.read(new BufferedInputStream(socket.getInputStream()));
            outcome = answer == null ? "closed" : Integer.toString(answer.status());
        } catch (IOException failed) {
            outcome = "failed";
        }
        RunRecord.line("caller gets %s for %s", outcome, id);
    }

    private synchronized void begun(PlainServer server, String requestId, boolean deadly) {
        if (!deadly || !Deployment.troubled()) {
            return;
        }
        long now = System.nanoTime();
        boolean late = now - STABLE_WINDOW_NANOS > thirdCrashAt;
        if (late && lateRetries.add(requestId) && lateRetries.size() > MAX_RETRIES) {
            deployment.broken(
                    "a deadly request in more than three retries",
                    "BUDGET BROKEN: retry %d (%s) reaches %s %d ms after the request's third crash",
                    lateRetries.size(),
                    requestId,
                    server.id(),
                    (now - thirdCrashAt) / 1_000_000);
        }
        crashes++;
        if (crashes == 3) {
            thirdCrashAt = now;
        }
        Thread.ofVirtual().start(() -> startAgain(server));
    }

    private static void startAgain(PlainServer server) {
        try {
            Thread.sleep(DOWN_MILLIS);
            server.start();
        } catch (IOException failed) {
            RunRecord.show("a server can't start again: %s", failed);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
