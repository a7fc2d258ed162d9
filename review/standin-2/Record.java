import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a trial: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    /** Returns the seconds since the start. */
    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), String.format(Locale.ROOT, format, arguments));
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void tell(String format, Object... arguments) {
        line(format, arguments);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
