import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The platform's names for headers, calls and keys. */
final class Names {

    private static final Properties ALL = read();

    static final String DEADLINE = ALL.getProperty("deadline");
    static final String TARGET_INSTANCE = ALL.getProperty("target-instance");
    static final String SERVER_LOAD = ALL.getProperty("server-load");
    static final String SEAL = ALL.getProperty("seal");
    static final String DESIRED_STATE = ALL.getProperty("desired-state");
    static final String RANGE = ALL.getProperty("range");
    static final String WATCH = ALL.getProperty("watch");
    static final String TRANSACTION = ALL.getProperty("transaction");
    static final String LEASE = ALL.getProperty("lease");
    static final String KEEP = ALL.getProperty("keep");
    static final String SETTINGS_VARIABLE = ALL.getProperty("settings-variable");

    private Names() {}

    private static Properties read() {
        Properties properties = new Properties();
        try (InputStream file = Names.class.getResourceAsStream("platform.properties")) {
            properties.load(file);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
        return properties;
    }
}
