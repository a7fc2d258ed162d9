package org.dragonflymux.gateway;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Addresses as text: an IP number, a colon, a port. */
public final class SocketAddresses {

    private SocketAddresses() {}

    /**
     * Returns the address that a text names.
     *
     * @throws IllegalArgumentException if the text isn't an IP number with a port
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }
}
