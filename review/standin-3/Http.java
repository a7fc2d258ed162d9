import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The part of HTTP/1.1 that the stand-ins need: messages whose bodies have a length or come in chunks. */
final class Http {

    private static final int MAX_LINE_BYTES = 65_536;

    private Http() {}

    /** A header field. */
    record Field(String name, String value) {}

    /** A request or a response: the words of its first line, its fields and its body. */
    record Message(String start, List<Field> fields, byte[] body) {

        String word(int index) {
            String[] words = start.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        Optional<String> field(String name) {
            return fields.stream()
                    .filter(field -> field.name().equalsIgnoreCase(name))
                    .map(Field::value)
                    .findFirst();
        }

        boolean closes() {
            return field("Connection").filter(value -> value.equalsIgnoreCase("close")).isPresent();
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; empty if the connection ended before it began. */
    static Optional<Message> read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return Optional.empty();
        }
        List<Field> fields = new ArrayList<>();
        while (true) {
            String line = line(in);
            if (line == null) {
                throw new IOException("the connection ended within a header section");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            fields.add(new Field(line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        Message head = new Message(start, List.copyOf(fields), new byte[0]);
        return Optional.of(new Message(start, head.fields(), body(in, head)));
    }

    private static byte[] body(InputStream in, Message head) throws IOException {
        if (head.field("Transfer-Encoding").filter(value -> value.equalsIgnoreCase("chunked")).isPresent()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                if (size == 0) {
                    line(in);
                    return body.toByteArray();
                }
                body.write(exactly(in, size));
                line(in);
            }
        }
        return exactly(in, Integer.parseInt(head.field("Content-Length").orElse("0")));
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("the connection ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("the connection ended within a line");
            }
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                bytes.write(next);
            }
            if (bytes.size() > MAX_LINE_BYTES) {
                throw new IOException("a line is too long");
            }
        }
    }

    /** Writes a message with the length of its body. */
    static void write(OutputStream out, String start, List<Field> fields, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        fields.forEach(field -> head.append(field.name()).append(": ").append(field.value()).append("\r\n"));
        if (body.length > 0 || !start.startsWith("GET ")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
