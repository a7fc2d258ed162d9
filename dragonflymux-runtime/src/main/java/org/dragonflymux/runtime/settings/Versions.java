package org.dragonflymux.runtime.settings;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The version of the running program. */
public final class Versions {

    private static final String RESOURCE = "/org/dragonflymux/version.properties";

    private Versions() {}

    /** Returns the project's version, or {@code unknown} if it cannot be read. */
    public static String current() {
        Properties properties = new Properties();
        try (InputStream stream = Versions.class.getResourceAsStream(RESOURCE)) {
            if (stream != null) {
                properties.load(stream);
            }
        } catch (IOException e) {
            return "unknown";
        }
        return properties.getProperty("version", "unknown");
    }
}
