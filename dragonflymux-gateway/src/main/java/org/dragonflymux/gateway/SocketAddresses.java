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
     * @throws UnusableAddressException if the text is not an IP address with a port from 1 to 65535
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed;
        try {
            parsed = HostAndPort.fromString(text);
        } catch (IllegalArgumentException malformed) {
            throw new UnusableAddressException(text);
        }
        if (parsed.getPortOrDefault(0) == 0 || !InetAddresses.isInetAddress(parsed.getHost())) {
            throw new UnusableAddressException(text);
        }
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }
}
