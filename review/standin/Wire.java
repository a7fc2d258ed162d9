import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages with a length, as all programs of a case use them. */
final class Wire {

    private static final int MAX_LINE = 65_536;

    private Wire() {}

    /** A message: its first line, its headers by lower-case name, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Reads a message, or returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the message ends early");
        }
        return new Message(head.firstLine(), head.headers(), body);
    }

    /** Reads a message up to its body, or returns null at the end of the stream. */
    static Message readHead(InputStream in) throws IOException {
        String firstLine = line(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(firstLine, headers, new byte[0]);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0 || bytes.size() > MAX_LINE) {
                return null;
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a message with a length. */
    static byte[] bytes(String firstLine, Map<String, String> headers, byte[] body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head(firstLine, all));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** Returns the bytes of a message up to its body. */
    static byte[] head(String firstLine, Map<String, String> headers) {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
