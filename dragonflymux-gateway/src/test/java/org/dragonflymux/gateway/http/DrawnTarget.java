package org.dragonflymux.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflymux.core.gateway.AttemptResult;

/**
 * A target whose bytes on each connection are drawn from a seed, and which remembers what it has said about which request.
 * Requests are {@code POST /id}; the answers' ids, seals and refusals are in the headers Id, Seal and Not-Run.
 */
final class DrawnTarget implements AutoCloseable {

    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int MAX_INTERIM = 3;
    private static final long PAUSE_MILLIS = 2;
    private static final long SILENCE_MILLIS = 100;
    private static final List<Kind> KINDS = List.of(
            new Kind("200 OK", "Seal: 1\r\n", success(), true),
            new Kind("200 OK", "Seal: 1\r\n", success(), true),
            new Kind("200 OK", "Seal: 1\r\n", success(), true),
            new Kind("204 No Content", "Seal: 1\r\n", success(), false),
            new Kind("200 OK", "", new AttemptResult.Lost(true), true),
            new Kind("503 Service Unavailable", "Not-Run: 1\r\n", new AttemptResult.NotRun(false), true),
            new Kind("421 Misdirected Request", "", new AttemptResult.NotRun(true), true),
            new Kind("503 Service Unavailable", "Seal: 1\r\n", new AttemptResult.Lost(false), true),
            new Kind(
                    "500 Internal Server Error",
                    "",
                    new AttemptResult.Answered(AttemptResult.Grade.TARGET_ERROR),
                    true),
            new Kind("404 Not Found", "", new AttemptResult.Answered(AttemptResult.Grade.REPLY), true));

    private final ServerSocket socket;
    private final long seed;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<String> seen = ConcurrentHashMap.newKeySet();
    private final Set<String> answeredInOrder = ConcurrentHashMap.newKeySet();
    private final Map<String, List<Answer>> answers = new ConcurrentHashMap<>();
    private final Queue<String> odd = new ConcurrentLinkedQueue<>();

    /** A whole answer to a request: what it means, and its body. */
    record Answer(AttemptResult result, String body) {}

    private record Kind(String status, String headers, AttemptResult result, boolean hasBody) {}

    private enum Framing {
        LENGTH,
        CHUNKS,
        CHUNKS_AND_LENGTH,
        UNTIL_CLOSE
    }

    private enum End {
        NEXT,
        CLOSE,
        RESET,
        RESET_LATER,
        SILENCE
    }

    private record WrittenAnswer(Answer answer, int end, boolean untilClose) {}

    /** The bytes that a target writes for one request, and the answers to it among them. */
    private static final class Script {

        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final List<WrittenAnswer> answers = new ArrayList<>();
        private boolean inOrder = true;
        private boolean inOrderBehind = true;
        private boolean untilClose;

        void add(String text) {
            bytes.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
        }

        void endAnswer(Answer answer) {
            answers.add(new WrittenAnswer(answer, bytes.size(), untilClose));
        }
    }

    private DrawnTarget(ServerSocket socket, long seed) {
        this.socket = socket;
        this.seed = seed;
    }

    static DrawnTarget start(long seed) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        DrawnTarget target = new DrawnTarget(socket, seed);
        Thread.ofVirtual().start(target::accept);
        return target;
    }

    private static AttemptResult success() {
        return new AttemptResult.Answered(AttemptResult.Grade.SUCCESS);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Returns whether any part of a request arrived. */
    boolean saw(String id) {
        return seen.contains(id);
    }

    /** Returns the whole answers to a request in the order in which they were written. */
    List<Answer> answersTo(String id) {
        return answers.getOrDefault(id, List.of());
    }

    /** Returns whether the bytes of a request's connection were in order up to and including the answer to it. */
    boolean answeredInOrder(String id) {
        return answeredInOrder.contains(id);
    }

    /** Returns what arrived that isn't a request. */
    List<String> oddRequests() {
        return List.copyOf(odd);
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                Random random = new Random(31 * seed + connections.getAndIncrement());
                Thread.ofVirtual().start(() -> serve(connection, random));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection, Random random) {
        try (connection;
                InputStream in = connection.getInputStream()) {
            boolean inOrder = true;
            while (true) {
                Request request = Request.read(in);
                if (request == null) {
                    return;
                }
                if (request.id().isEmpty()) {
                    odd.add(request.line());
                    return;
                }
                seen.add(request.id());
                boolean early = random.nextInt(3) == 0;
                if (!early) {
                    in.skipNBytes(request.bodyBytes());
                }
                Script script = script(random, request.id());
                inOrder &= script.inOrder;
                End end = write(connection, random, script, request.id(), inOrder);
                inOrder &= script.inOrderBehind;
                switch (end) {
                    case NEXT -> {
                        if (early) {
                            in.skipNBytes(request.bodyBytes());
                        }
                    }
                    case CLOSE -> {
                        connection.shutdownOutput();
                        in.transferTo(OutputStream.nullOutputStream());
                        return;
                    }
                    case RESET, RESET_LATER, SILENCE -> {
                        Thread.sleep(end == End.RESET ? 0 : end == End.SILENCE ? SILENCE_MILLIS : 10 * PAUSE_MILLIS);
                        connection.setSoLinger(true, 0);
                        return;
                    }
                }
            }
        } catch (IOException closed) {
            // The caller closed the connection, which ends the script.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Script script(Random random, String id) {
        Script script = new Script();
        for (int i = random.nextInt(4) == 0 ? random.nextInt(MAX_INTERIM) : -1; i >= 0; i--) {
            script.add(List.of(
                            "HTTP/1.1 100 Continue\r\n\r\n",
                            "HTTP/1.1 102 Processing\r\nId: " + id + "\r\nSeal: 1\r\n\r\n",
                            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
                    .get(random.nextInt(3)));
        }
        for (int i = random.nextInt(4) == 0 ? random.nextInt(2) : -1; i >= 0; i--) {
            answer(random, script, otherId(random, id), false);
        }
        if (random.nextInt(12) == 0) {
            script.inOrder = false;
            script.add(List.of(
                            "no response\r\n",
                            "HTTP/1.1 200 OK\r\nId: " + id
                                    + "\r\nSeal: 1\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nSeal: 1\r\nContent-Length: 2\r\n\r\nok",
                            "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: 1\r\nContent-Length: -4\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: 1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
                            "HTTP/1.1 200 OK\r\nSeal: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nId: " + id
                                    + "\r\n\r\n",
                            "\u0000\u0001\u0002",
                            "HTTP/1.1 999")
                    .get(random.nextInt(8)));
        }
        answer(random, script, id, true);
        if (!script.untilClose && random.nextInt(5) == 0) {
            script.inOrderBehind = false;
            switch (random.nextInt(4)) {
                case 0 -> answer(random, script, id, true);
                case 1 -> answer(random, script, otherId(random, id), false);
                case 2 -> script.add("no response");
                default -> script.add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20");
            }
        }
        return script;
    }

    /** Returns the id of a request that the target has seen, which may still be at work, or of none. */
    private String otherId(Random random, String id) {
        List<String> others =
                seen.stream().filter(each -> !each.equals(id)).sorted().toList();
        return others.isEmpty() || random.nextInt(4) == 0 ? "none" : others.get(random.nextInt(others.size()));
    }

    private void answer(Random random, Script script, String id, boolean own) {
        Kind kind = KINDS.get(random.nextInt(KINDS.size()));
        String body = kind.hasBody() ? "of " + id + " ".repeat(random.nextInt(40)) + "#" + random.nextInt(1_000) : "";
        // Only the last bytes of a connection can lack a length.
        Framing framing = Framing.values()[random.nextInt(own ? 4 : 3)];
        script.add("HTTP/1.1 " + kind.status() + "\r\nId: " + id + "\r\n" + kind.headers());
        if (!kind.hasBody()) {
            script.add("Content-Length: 0\r\n\r\n");
        } else {
            switch (framing) {
                case LENGTH -> script.add("Content-Length: " + body.length() + "\r\n\r\n" + body);
                case CHUNKS -> script.add("Transfer-Encoding: chunked\r\n\r\n" + chunks(random, body));
                case CHUNKS_AND_LENGTH -> {
                    // Whether such an answer counts is left to the caller.
                    script.inOrder = false;
                    script.add("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(random, body));
                }
                case UNTIL_CLOSE -> {
                    script.add("\r\n" + body);
                    script.untilClose = true;
                }
            }
        }
        if (own) {
            script.endAnswer(new Answer(kind.result(), body));
        }
    }

    private static String chunks(Random random, String body) {
        int middle = random.nextInt(body.length() - 1) + 1;
        String trailers = random.nextBoolean() ? "" : "Id: none\r\nNot-Run: 1\r\nX-Checksum: 1\r\n";
        return "%x;a=b\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n"
                .formatted(middle, body.substring(0, middle), body.length() - middle, body.substring(middle), trailers);
    }

    private End write(Socket connection, Random random, Script script, String id, boolean inOrder)
            throws IOException, InterruptedException {
        byte[] bytes = script.bytes.toByteArray();
        boolean cut = random.nextInt(3) == 0;
        int length = cut ? random.nextInt(bytes.length) : bytes.length;
        End end = end(random, cut, script.untilClose);
        for (WrittenAnswer each : script.answers) {
            if (each.end() <= length && (!each.untilClose() || end == End.CLOSE)) {
                answers.computeIfAbsent(id, _ -> new CopyOnWriteArrayList<>()).add(each.answer());
            }
        }
        if (inOrder && !cut && (end == End.NEXT || end == End.CLOSE)) {
            answeredInOrder.add(id);
        }
        OutputStream out = connection.getOutputStream();
        int written = 0;
        while (written < length) {
            int next = random.nextInt(3) == 0 ? written + 1 + random.nextInt(length - written) : length;
            out.write(bytes, written, next - written);
            out.flush();
            written = next;
            if (written < length && random.nextBoolean()) {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return end;
    }

    private static End end(Random random, boolean cut, boolean untilClose) {
        if (cut) {
            // An answer without a length that ends in order is whole, wherever that is.
            List<End> ends = untilClose
                    ? List.of(End.RESET, End.RESET_LATER, End.SILENCE)
                    : List.of(End.CLOSE, End.CLOSE, End.RESET, End.RESET_LATER, End.SILENCE);
            return ends.get(random.nextInt(ends.size()));
        }
        if (untilClose) {
            return List.of(End.CLOSE, End.CLOSE, End.RESET, End.RESET_LATER).get(random.nextInt(4));
        }
        return List.of(End.NEXT, End.NEXT, End.NEXT, End.NEXT, End.NEXT, End.CLOSE, End.RESET, End.RESET_LATER)
                .get(random.nextInt(8));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** The head of a request; its id is empty if it isn't one. */
    private record Request(String line, String id, int bodyBytes) {

        private static final int MAX_LINE_BYTES = 1_000;

        static Request read(InputStream in) throws IOException {
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            if (!line.matches("POST /[0-9a-z-]+ HTTP/1.1")) {
                return new Request(line, "", 0);
            }
            int length = 0;
            String header = readLine(in);
            while (header != null && !header.isEmpty()) {
                if (header.toLowerCase(java.util.Locale.ROOT).startsWith("content-length: ")) {
                    length = Integer.parseInt(header.substring("content-length: ".length()));
                }
                header = readLine(in);
            }
            return new Request(line, line.substring("POST /".length(), line.indexOf(" HTTP")), length);
        }

        private static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            int next = in.read();
            while (next >= 0 && next != '\n' && line.length() < MAX_LINE_BYTES) {
                if (next != '\r') {
                    line.append((char) next);
                }
                next = in.read();
            }
            return next < 0 ? null : line.toString();
        }
    }
}
