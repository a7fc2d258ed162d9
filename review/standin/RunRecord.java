import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered, granted and run, with seconds since the start. */
final class RunRecord {

    private static final double NANOS_PER_SECOND = 1e9;
    private static long start;
    private static PrintWriter writer;

    private RunRecord() {}

    static void open(Path file) throws IOException {
        start = System.nanoTime();
        writer = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    static synchronized void line(String text, Object... values) {
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        writer.println(String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, text, values));
    }

    /** Writes a line that is also shown. */
    static void show(String text, Object... values) {
        line(text, values);
        System.out.printf(Locale.ROOT, "%8.3f ", (System.nanoTime() - start) / NANOS_PER_SECOND);
        System.out.printf(Locale.ROOT, text + "%n", values);
    }

    static synchronized void close() {
        writer.close();
    }
}
