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
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            InetSocketAddress address =
                    new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
            if (address.getPort() > 0) {
                return address;
            }
        } catch (IllegalArgumentException | IllegalStateException unusable) {
            throw new UnusableAddressException(text, unusable);
        }
        throw new UnusableAddressException(text, null);
    }
}
