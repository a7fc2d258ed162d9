import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The platform's names of headers, keys and calls, from {@code platform.properties}. */
final class Names {

    static final String DEADLINE;
    static final String EXPECTED_SERVER;
    static final String LOAD;
    static final String SEAL;
    static final String CREDENTIAL;
    static final String DESIRED_STATE;
    static final String STORE_CALL;
    static final String SETTINGS_VARIABLE;

    static {
        Properties names = new Properties();
        try (InputStream in = Names.class.getResourceAsStream("platform.properties")) {
            names.load(in);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
        DEADLINE = names.getProperty("deadline");
        EXPECTED_SERVER = names.getProperty("expected-server");
        LOAD = names.getProperty("load");
        SEAL = names.getProperty("seal");
        CREDENTIAL = names.getProperty("credential");
        DESIRED_STATE = names.getProperty("desired-state");
        STORE_CALL = names.getProperty("store-call");
        SETTINGS_VARIABLE = names.getProperty("settings-variable");
    }

    private Names() {}
}
