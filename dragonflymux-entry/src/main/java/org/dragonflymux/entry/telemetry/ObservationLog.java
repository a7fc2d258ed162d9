package org.dragonflymux.entry.telemetry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.dragonflymux.core.message.Observation;

/** Writes the observations of an entry host to the log and the metrics. */
public final class ObservationLog {

    private static final Logger LOG = LogManager.getLogger("org.dragonflymux.events");

    private final EntryMetrics metrics;

    private ObservationLog(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    /** Returns a log that also counts observations in metrics. */
    public static ObservationLog of(EntryMetrics metrics) {
        return new ObservationLog(metrics);
    }

    /** Logs or counts an observation. */
    public void recordObservation(Observation observation) {
        switch (observation) {
            case Observation.StoreReachable store ->
                log("store_reachable", "reachable", Boolean.toString(store.reachable()));
            case Observation.SessionLapsed lapsed ->
                log("session_lapsed", "host", lapsed.host().value());
            case Observation.TableWritten written ->
                log("table_written", "service", written.service().value(), "revision", text(written.revision()));
            case Observation.TableConflict conflict ->
                log("table_conflict", "service", conflict.service().value());
            case Observation.LaneHeld lane ->
                log(
                        lane.held() ? "lane_taken" : "lane_given_up",
                        "service",
                        lane.service().value(),
                        "target",
                        lane.target().value(),
                        "fence",
                        text(lane.fence()));
            case Observation.RequestQuarantined quarantined ->
                log(
                        "request_quarantined",
                        "service",
                        quarantined.service().value(),
                        "fingerprint",
                        Long.toHexString(quarantined.fingerprint()));
            case Observation.Retried retried -> metrics.count("retries." + retried.service());
            case Observation.Admitted _ -> metrics.count("admitted");
            case Observation.TokensLent lent -> {
                metrics.count("tokens.asked", lent.asked());
                metrics.count("tokens.lent", lent.lent());
            }
        }
    }

    private static String text(long number) {
        return Long.toString(number);
    }

    private void log(String event, String... fields) {
        metrics.count("events." + event);
        StringMapMessage message = new StringMapMessage();
        message.put("event", event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            message.put(fields[i], fields[i + 1]);
        }
        LOG.info(message);
    }
}
