import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages whose bodies have a length. */
final class Http {

    private static final int MAX_LINE_BYTES = 65_536;

    private Http() {}

    /**
     * A message.
     *
     * @param first the request line or the status line
     * @param headers the fields, by lower-case name
     * @param body the body
     */
    record Message(String first, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; null if the connection ended before it began. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line = line(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("not a header field: " + line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = line(in);
        }
        if (line == null) {
            throw new IOException("the connection ended in a header section");
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended in a body");
        }
        return new Message(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            if (bytes.size() > MAX_LINE_BYTES) {
                throw new IOException("line too long");
            }
            next = in.read();
        }
        if (next < 0) {
            throw new IOException("the connection ended in a line");
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Writes a message without the second half of its body. */
    static void writePart(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        write(whole, first, headers, body);
        out.write(whole.toByteArray(), 0, whole.size() - (body.length + 1) / 2);
        out.flush();
    }

    /** Writes a message in one piece. */
    static void write(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
