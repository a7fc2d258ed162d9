package org.dragonflymux.runtime.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * Parses and validates the text of a setting.
 *
 * @param <T> the type of the value
 * @param expected a description of a valid text, for help and error messages
 * @param parser converts a text to a value; throws {@link IllegalArgumentException} if the text is not valid
 */
public record SettingType<T>(String expected, Function<String, T> parser) {

    /** A non-empty text. */
    public static final SettingType<String> TEXT = new SettingType<>("a non-empty text", SettingType::nonEmpty);

    /** An IP address and port. */
    public static final SettingType<InetSocketAddress> ADDRESS =
            new SettingType<>("an IP address and port, such as 127.0.0.1:7000", SettingType::address);

    /** A list of IP addresses and ports, separated by commas; may be empty. */
    public static final SettingType<List<InetSocketAddress>> ADDRESSES = new SettingType<>(
            "IP addresses and ports, separated by commas",
            text -> text.isEmpty()
                    ? List.of()
                    : Arrays.stream(text.split(",")).map(SettingType::address).toList());

    /** An HTTP URI with a host. */
    public static final SettingType<URI> HTTP_URI =
            new SettingType<>("an HTTP URI such as http://127.0.0.1:2379", text -> {
                URI uri = URI.create(text);
                require("http".equals(uri.getScheme()) && uri.getHost() != null);
                return uri;
            });

    /** A Boolean. */
    public static final SettingType<Boolean> BOOLEAN = new SettingType<>("true or false", text -> {
        require("true".equals(text) || "false".equals(text));
        return "true".equals(text);
    });

    /** Returns the type of whole numbers between two inclusive bounds. */
    public static SettingType<Integer> number(int min, int max) {
        return new SettingType<>("a whole number from %d to %d".formatted(min, max), text -> {
            int value = Integer.parseInt(text);
            require(value >= min && value <= max);
            return value;
        });
    }

    /** Returns a type whose values are created from texts by a factory. */
    public static <T> SettingType<T> of(String expected, Function<String, T> factory) {
        return new SettingType<>(expected, factory);
    }

    private static String nonEmpty(String text) {
        require(!text.isEmpty());
        return text;
    }

    private static InetSocketAddress address(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        require(parsed.hasPort() && InetAddresses.isInetAddress(parsed.getHost()));
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalSettingException();
        }
    }
}
