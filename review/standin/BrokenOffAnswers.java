import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One of two servers answers long requests before it has read them, without a length, and resets the connection before its
 * answer is whole.
 */
final class BrokenOffAnswers {

    private static final Deployment.Traffic TRAFFIC = new Deployment.Traffic(40, 0, 1, 1_000);
    private static final int TIMES = 20;
    private static final int REQUEST_BYTES = 12_000_000;
    private static final int ANSWER_BYTES = 40_000;
    private static final int SMALL_WINDOW = 4_096;

    private final Deployment deployment;
    private int lives;

    private BrokenOffAnswers(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) {
        Deployment.run(
                arguments,
                2,
                0,
                TRAFFIC,
                deployment -> new BrokenOffAnswers(deployment).sendLongRequests());
    }

    private void sendLongRequests() throws IOException, InterruptedException {
        start(true);
        start(false);
        Thread.sleep(1_000);
        deployment.startCallers(TRAFFIC);
        for (int i = 0; i < TIMES; i++) {
            send(String.format("long%012x", i), deployment.machines.get(i % deployment.machines.size()));
            Thread.sleep(1_500);
        }
    }

    private void start(boolean faulty) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(SMALL_WINDOW);
        socket.bind(new InetSocketAddress("127.0.0.1", 0));
        String id = "p-" + ++lives;
        deployment.store.write(
                "servers/" + id,
                """
                {"address":"127.0.0.1:%d","node-info":{"service":"plain","version":"v1","zone":"palermo","slots":4},
                 "status":{"state":"ready","sequence":1,"cold-left-s":0},"born":%d}
                """.formatted(socket.getLocalPort(), System.currentTimeMillis()));
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Socket connection = socket.accept();
                    Thread.ofVirtual().start(() -> serve(id, faulty, connection));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private void serve(String id, boolean faulty, Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            while (true) {
                Wire.Message head = Wire.readHead(in);
                if (head == null) {
                    return;
                }
                answer(id, faulty, connection, head);
                if (head.target().startsWith("/order/")) {
                    return;
                }
            }
        } catch (IOException | InterruptedException ended) {
            RunRecord.line("server %s: a connection ends: %s", id, ended.getMessage());
        }
    }

    private void answer(String id, boolean faulty, Socket connection, Wire.Message head)
            throws IOException, InterruptedException {
        InputStream in = connection.getInputStream();
        OutputStream out = connection.getOutputStream();
        String requestId = head.header("X-Request-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", requestId);
        headers.put(Names.SEAL, "seal-" + requestId);
        int length = Integer.parseInt("0" + head.header("Content-Length"));
        if (!head.target().startsWith("/order/")) {
            in.readNBytes(length);
            out.write(Wire.bytes("HTTP/1.1 200 OK", headers, ("ran " + requestId).getBytes(StandardCharsets.US_ASCII)));
            return;
        }
        headers.put("Connection", "close");
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'a');
        out.write(Wire.head("HTTP/1.1 200 OK", headers));
        if (faulty && Deployment.troubled()) {
            out.write(answer, 0, ANSWER_BYTES / 2);
            out.flush();
            Thread.sleep(100);
            RunRecord.line(
                    "server %s breaks off its answer to %s after %d of %d bytes",
                    id,
                    requestId,
                    ANSWER_BYTES / 2,
                    ANSWER_BYTES);
            connection.setSoLinger(true, 0);
            connection.close();
            return;
        }
        out.write(answer);
        out.flush();
        in.readNBytes(length);
        RunRecord.line("server %s has answered %s with %d bytes", id, requestId, ANSWER_BYTES);
    }

    private void send(String id, Machine machine) {
        RunRecord.line("caller sends %s to %s", id, machine.name());
        String outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip(), machine.frontPort()), 1_000);
            socket.setSoTimeout(3_000);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", Callers.HOST);
            headers.put("X-Request-Id", id);
            headers.put(Names.DEADLINE, "2000");
            headers.put("Connection", "close");
            socket.getOutputStream().write(Wire.bytes("POST /order/batch HTTP/1.1", headers, new byte[REQUEST_BYTES]));
            Wire.Message answer = Wire.read(new BufferedInputStream(socket.getInputStream()));
            outcome = answer == null ? "closed" : answer.status() + " with " + answer.body().length + " bytes";
            if (answer != null && answer.status() == 200 && answer.body().length != ANSWER_BYTES) {
                deployment.broken(
                        "a success with a part of the body",
                        "MIXED BROKEN: %s gets a success with %d bytes of the server's %d",
                        id,
                        answer.body().length,
                        ANSWER_BYTES);
            }
        } catch (IOException failed) {
            outcome = "failed: " + failed.getMessage();
        }
        RunRecord.line("caller gets %s for %s", outcome, id);
    }
}
