import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

/** Callers that send safe requests at a steady rate, each on a connection of its own, in turn to all machines. */
final class Callers {

    static final String HOST = "keyed.example";
    private static final int WAIT_MILLIS = 1_500;

    private final List<Machine> machines;
    private final String path;
    private final AtomicLong sent = new AtomicLong();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private volatile boolean stopped;

    Callers(List<Machine> machines, String path) {
        this.machines = machines;
        this.path = path;
    }

    void start(double perSecond, IntSupplier keys) {
        Thread.ofPlatform().daemon().start(() -> {
            long next = System.nanoTime();
            while (!stopped) {
                next += (long) (1e9 / perSecond);
                long wait = (next - System.nanoTime()) / 1_000_000;
                try {
                    Thread.sleep(Math.max(0, wait));
                } catch (InterruptedException ended) {
                    return;
                }
                int key = keys.getAsInt();
                Thread.ofVirtual().start(() -> request(key));
            }
        });
    }

    private void request(int key) {
        long number = sent.incrementAndGet();
        Machine machine = machines.get((int) (number % machines.size()));
        String id = String.format("%016x", number);
        RunRecord.line("caller sends %s key %d to %s", id, key, machine.name());
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip(), machine.frontPort()), 1_000);
            socket.setSoTimeout(WAIT_MILLIS + 1_000);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", HOST);
            headers.put("X-Request-Id", id);
            headers.put(Names.DEADLINE, Integer.toString(WAIT_MILLIS));
            headers.put("X-Shard-Key", Integer.toString(key));
            headers.put("Connection", "close");
            socket.getOutputStream().write(Wire.bytes("GET " + path + " HTTP/1.1", headers, new byte[0]));
            Wire.Message answer = Wire.read(new BufferedInputStream(socket.getInputStream()));
            outcome = answer == null ? "closed" : outcome(answer, id);
        } catch (IOException failed) {
            outcome = "failed";
        }
        RunRecord.line("caller gets %s for %s", outcome, id);
        synchronized (outcomes) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }

    private static String outcome(Wire.Message answer, String id) {
        if (answer.status() != 200) {
            return Integer.toString(answer.status());
        }
        String body = new String(answer.body(), StandardCharsets.US_ASCII);
        boolean own = body.startsWith("ran " + id) && answer.header("X-Request-Id").equals(id);
        return own ? "200" : "a foreign answer";
    }

    void stop() {
        stopped = true;
    }

    Map<String, Integer> outcomes() {
        synchronized (outcomes) {
            return new TreeMap<>(outcomes);
        }
    }
}
