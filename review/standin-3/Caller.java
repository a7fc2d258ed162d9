import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a requester: sends a request on a new connection and reads its answer. */
final class Caller {

    private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime() & 0xffffffL);

    private Caller() {}

    static String newId() {
        return String.format("%016x", LAST_ID.incrementAndGet());
    }

    /** Returns the header section's fields of a request. */
    static List<Http.Field> fields(String host, String id, long deadlineMillis, String key) {
        List<Http.Field> fields = new ArrayList<>();
        fields.add(new Http.Field("Host", host));
        fields.add(new Http.Field("X-Request-Id", id));
        fields.add(new Http.Field(Names.DEADLINE, Long.toString(deadlineMillis)));
        if (!key.isEmpty()) {
            fields.add(new Http.Field(Names.CREDENTIAL, key));
        }
        return fields;
    }

    /** Sends a request, and returns its answer as text: a status, or why there is none. */
    static String send(
            InetSocketAddress to, String method, String path, List<Http.Field> fields, byte[] body, long deadlineMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setSoTimeout((int) deadlineMillis);
            Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", fields, body);
            var answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer.map(message -> Integer.toString(message.status())).orElse("closed");
        } catch (IOException failed) {
            return "failed (" + failed.getMessage() + ")";
        }
    }
}
