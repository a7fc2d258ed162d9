import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests for keys to one gateway, one after the other on a kept connection. */
final class Caller {

    private static final AtomicLong LAST_ID = new AtomicLong();
    private static final int WAIT_MILLIS = 1_000;

    private final GatewayProcess gateway;
    private final int[] keys;
    private final long pauseMillis;
    private final Record record;
    private volatile boolean stopped;

    Caller(GatewayProcess gateway, int[] keys, long pauseMillis, Record record) {
        this.gateway = gateway;
        this.keys = keys;
        this.pauseMillis = pauseMillis;
        this.record = record;
    }

    void start() {
        Thread.ofVirtual().start(this::run);
    }

    void stop() {
        stopped = true;
    }

    private void run() {
        int next = 0;
        Socket connection = null;
        while (!stopped) {
            int key = keys[next++ % keys.length];
            String requestId = "r" + LAST_ID.incrementAndGet();
            try {
                if (connection == null) {
                    connection = new Socket();
                    connection.setTcpNoDelay(true);
                    connection.connect(new InetSocketAddress(gateway.ip(), gateway.port()), WAIT_MILLIS);
                    connection.setSoTimeout(2 * WAIT_MILLIS);
                }
                record.line("caller sends %s on key %d to %s", requestId, key, gateway.node());
                Http.write(
                        connection.getOutputStream(),
                        "GET /ledger/" + key + " HTTP/1.1",
                        Map.of(
                                "Host", "land.example",
                                "X-Request-Id", requestId,
                                Names.DEADLINE, Integer.toString(WAIT_MILLIS),
                                "X-Shard-Key", Integer.toString(key)),
                        new byte[0]);
                Http.Message answer = Http.read(connection.getInputStream());
                record.line(
                        "caller gets %s %s", requestId, answer == null ? "no answer" : answer.first() + " " + answer.text());
                if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException broken) {
                record.line("caller gets %s %s", requestId, broken);
                connection = null;
            }
            try {
                Thread.sleep(pauseMillis);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }
}
