package org.dragonflymux.ctl.explain;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** A host's view of the system at a point in its log, reconstructed from the events up to that point. */
final class HostView {

    private final Map<String, Value> valuesByTopic = new HashMap<>();

    /**
     * A value that the host held.
     *
     * @param text the value
     * @param since the time of the event that set it
     */
    private record Value(String text, double since) {}

    /** Applies an event of the host. */
    void apply(LogLine line) {
        switch (line.event()) {
            case "desired_state" -> put("version", line.field("version"), line);
            case "store_unreachable" -> put("store", "unreachable", line);
            case "store_reachable" -> put("store", "reachable", line);
            case "grants_changed" -> put("grants keys", line.field("leading"), line);
            case "table" -> put("table's last fencing token", line.field("lastFence"), line);
            case "stopping" -> put("stopping", "yes", line);
            default -> {}
        }
    }

    private void put(String topic, String text, LogLine line) {
        valuesByTopic.put(topic, new Value(text, line.seconds()));
    }

    /** Returns when the store became unreachable, or an empty string if it is reachable. */
    String storeUnreachableSince() {
        Value store = valuesByTopic.get("store");
        return store != null && store.text().equals("unreachable") ? "%.1f".formatted(store.since()) : "";
    }

    /** Returns all values as one line of text. */
    String text() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(valuesByTopic)
                .forEach((topic, value) -> text.append(text.isEmpty() ? "" : ", ")
                        .append("%s %s since %.1f".formatted(topic, value.text(), value.since())));
        return text.isEmpty() ? "-" : text.toString();
    }
}
