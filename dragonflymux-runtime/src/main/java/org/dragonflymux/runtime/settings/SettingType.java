package org.dragonflymux.runtime.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * How the text of a setting becomes a value.
 *
 * @param <T> the type of the value
 * @param expected what a correct text is
 * @param parser reads a text; throws {@link IllegalArgumentException} when it is not correct
 */
public record SettingType<T>(String expected, Function<String, T> parser) {

    /** Any text that is not empty. */
    public static final SettingType<String> TEXT = new SettingType<>("a text", SettingType::nonEmpty);

    /** An IP number and port. */
    public static final SettingType<InetSocketAddress> ADDRESS =
            new SettingType<>("an IP number and port, as 127.0.0.1:7000", SettingType::address);

    /** Any number of IP numbers and ports, separated by commas. */
    public static final SettingType<List<InetSocketAddress>> ADDRESSES = new SettingType<>(
            "IP numbers and ports, separated by commas",
            text -> text.isEmpty()
                    ? List.of()
                    : Arrays.stream(text.split(",")).map(SettingType::address).toList());

    /** An HTTP address. */
    public static final SettingType<URI> HTTP_URI = new SettingType<>("an address as http://127.0.0.1:2379", text -> {
        URI uri = URI.create(text);
        require("http".equals(uri.getScheme()) && uri.getHost() != null);
        return uri;
    });

    /** A switch. */
    public static final SettingType<Boolean> SWITCH = new SettingType<>("true or false", text -> {
        require("true".equals(text) || "false".equals(text));
        return "true".equals(text);
    });

    /** Returns the type of a whole number between two bounds, both included. */
    public static SettingType<Integer> number(int least, int most) {
        return new SettingType<>("a whole number from %d to %d".formatted(least, most), text -> {
            int value = Integer.parseInt(text);
            require(value >= least && value <= most);
            return value;
        });
    }

    /** Returns a type whose values are made from texts by a factory. */
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

    private static void require(boolean holds) {
        if (!holds) {
            throw new IllegalSettingException();
        }
    }
}
