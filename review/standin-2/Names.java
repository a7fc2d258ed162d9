import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The platform's names of headers, keys and calls, from {@code platform.properties}. */
final class Names {

    private static final Properties ALL = read();

    static final String DEADLINE = name("deadline");
    static final String EXPECTED_SERVER = name("expected-server");
    static final String LOAD = name("load");
    static final String SEAL = name("seal");
    static final String CREDENTIAL = name("credential");
    static final String DESIRED_STATE = name("desired-state");
    static final String EVACUATION = name("evacuation");
    static final String STORE_CALL = name("store-call");
    static final String SETTINGS_VARIABLE = name("settings-variable");

    private Names() {}

    private static Properties read() {
        try (InputStream in = Names.class.getResourceAsStream("platform.properties")) {
            Properties result = new Properties();
            result.load(in);
            return result;
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static String name(String key) {
        return ALL.getProperty(key);
    }
}
