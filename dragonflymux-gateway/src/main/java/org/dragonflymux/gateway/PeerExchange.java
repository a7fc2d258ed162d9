package org.dragonflymux.gateway;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.gateway.ReportAggregator;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.quota.RateMessage;
import org.dragonflymux.gateway.control.ControlLoop;
import org.dragonflymux.gateway.peer.PeerSocket;

/** Exchanges reports and rate messages between this host and the others. */
final class PeerExchange {

    private static final Logger LOG = LogManager.getLogger(PeerExchange.class);

    private final EventLoop loop;
    private final Gateway gateway;
    private final RequestPath requests;
    private final ControlLoop control;
    private final LongSupplier requestTime;
    private final RecentSenders recentSenders = new RecentSenders();
    private Map<HostId, InetSocketAddress> memberAddresses = Map.of();
    private PeerSocket socket;

    private PeerExchange(
            EventLoop loop, Gateway gateway, RequestPath requests, ControlLoop control, LongSupplier requestTime) {
        this.loop = loop;
        this.gateway = gateway;
        this.requests = requests;
        this.control = control;
        this.requestTime = requestTime;
    }

    /** Opens the socket on the given address and starts to report. */
    static PeerExchange start(
            EventLoop loop,
            InetSocketAddress address,
            Gateway gateway,
            RequestPath requests,
            ControlLoop control,
            LongSupplier requestTime) {
        PeerExchange exchange = new PeerExchange(loop, gateway, requests, control, requestTime);
        exchange.socket = PeerSocket.open(loop, address, exchange::reportReceived, exchange::rateMessageReceived);
        requests.rateMessageSender(exchange::send);
        exchange.scheduleReport();
        return exchange;
    }

    /** Replaces the addresses of the other registered hosts. */
    void replaceAddresses(Map<HostId, InetSocketAddress> addresses) {
        memberAddresses = addresses;
    }

    private void scheduleReport() {
        loop.schedule(
                () -> {
                    try {
                        report();
                    } catch (RuntimeException failure) {
                        LOG.error("event=timer_failed", failure);
                    } finally {
                        scheduleReport();
                    }
                },
                gateway.millisUntilReport(requestTime.getAsLong()),
                TimeUnit.MILLISECONDS);
    }

    private void report() {
        long now = requestTime.getAsLong();
        if (!gateway.reportDue(now)) {
            return;
        }
        PeerReport own = gateway.report(now);
        control.recordKeyRequests(own.keys());
        Optional<HostId> grantor = control.grantor().map(FleetMember::host);
        for (ReportAggregator.Outgoing outgoing : gateway.outgoingReports(own, grantor, now)) {
            socket.send(
                    outgoing.report(),
                    outgoing.to().stream()
                            .map(memberAddresses::get)
                            .filter(Objects::nonNull)
                            .toList());
        }
    }

    private void reportReceived(PeerReport report) {
        control.recordKeyRequests(report.keys());
        requests.run(gateway.peerReportReceived(report, requestTime.getAsLong()));
    }

    private void rateMessageReceived(RateMessage message, InetSocketAddress sender) {
        if (message.via().isEmpty()) {
            recentSenders.record(message.from(), sender);
        }
        requests.rateMessageReceived(message);
    }

    private void send(HostId to, RateMessage message) {
        // A host whose calls the store refuses is not registered as a member but still asks others for tokens.
        Optional.ofNullable(memberAddresses.get(to))
                .or(() -> recentSenders.addressOf(to))
                .ifPresent(address -> socket.send(message, address));
    }
}
