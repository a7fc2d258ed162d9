package org.dragonflymux.gateway;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses socket addresses of the form {@code IP:port}. */
public final class SocketAddresses {

    private SocketAddresses() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not an IP address with a port from 1 to 65535
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        int port = parsed.getPortOrDefault(0);
        if (port == 0) {
            throw new IllegalArgumentException("an address needs a port from 1 to 65535");
        }
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), port);
    }
}
