package org.dragonflymux.gateway;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.gateway.CrossDomainTraffic;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.quota.LendingStats;
import org.dragonflymux.gateway.store.CountingStoreClient;

/** Logs totals of a host's activity, which are complete where lines about single requests are left out. */
final class ActivityLog {

    private static final Logger LOG = LogManager.getLogger(ActivityLog.class);

    private final Gateway gateway;
    private final RequestPath requests;
    private final CountingStoreClient store;

    private ActivityLog(Gateway gateway, RequestPath requests, CountingStoreClient store) {
        this.gateway = gateway;
        this.requests = requests;
        this.store = store;
    }

    static ActivityLog of(Gateway gateway, RequestPath requests, CountingStoreClient store) {
        return new ActivityLog(gateway, requests, store);
    }

    /** Logs the customers whose demands this host has denied as their lender. */
    void logLending() {
        for (LendingStats stats : gateway.drainLendingStats()) {
            if (stats.denied() > 0) {
                LOG.info(
                        "event=rate_used_up customer={} rate={} burst={} lent={} givenBack={} denied={} tokens={} outstanding={}",
                        stats.customer(),
                        stats.ratePerSecond(),
                        stats.burst(),
                        stats.lent(),
                        stats.returned(),
                        stats.denied(),
                        (long) stats.tokens(),
                        (long) stats.outstanding());
            }
        }
    }

    /** Logs how many requests were refused for which reason, how many left the failure domain, and what calls to the store were made for. */
    void logCounts() {
        LOG.info("event=refusals reasons={}", requests.drainRefusals());
        CrossDomainTraffic.Totals traffic = gateway.drainCrossDomainTraffic();
        LOG.info(
                "event=domain_traffic stayed={} left={} leftBytes={}",
                traffic.stayed(),
                traffic.left(),
                traffic.leftBytes());
        CountingStoreClient.Counts counts = store.drainCounts();
        LOG.info(
                "event=store_calls reads={} watches={} writes={} leases={} renewals={} failed={}",
                counts.reads(),
                counts.watches(),
                counts.writes(),
                counts.leases(),
                counts.renewals(),
                counts.failed());
    }
}
