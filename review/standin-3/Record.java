import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with times in seconds from the start of the record. */
final class Record implements AutoCloseable {

    private final long startedAt = System.nanoTime();
    private final Writer out;

    Record(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void add(String line) {
        try {
            out.write(String.format(Locale.ROOT, "%8.3f  %s%n", seconds(), line));
            out.flush();
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    /** Adds a line and prints it. */
    void say(String line) {
        System.out.println(line);
        add(line);
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
