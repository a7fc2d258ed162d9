package org.dragonflymux.gateway;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.name.HostId;

/** The addresses of the hosts that sent messages last. Their number is limited, since a sender may use any names. */
final class RecentSenders {

    static final int MAX_SENDERS = 4_096;

    private final Map<HostId, InetSocketAddress> addresses = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<HostId, InetSocketAddress> eldest) {
            return size() > MAX_SENDERS;
        }
    };

    void record(HostId host, InetSocketAddress address) {
        addresses.put(host, address);
    }

    Optional<InetSocketAddress> addressOf(HostId host) {
        return Optional.ofNullable(addresses.get(host));
    }
}
