package org.dragonflymux.ctl.explain;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What one host took for true at some moment, as far as its log tells, and since when. */
final class Beliefs {

    private final Map<String, Belief> byTopic = new HashMap<>();

    /**
     * One thing taken for true.
     *
     * @param text what it is
     * @param since when the host came to take it for true
     */
    private record Belief(String text, double since) {}

    /** Takes in a line of the host. */
    void learn(LogLine line) {
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
        byTopic.put(topic, new Belief(text, line.seconds()));
    }

    /** Returns since when the host couldn't reach the store, or an empty text while it could. */
    String storeLostSince() {
        Belief store = byTopic.get("store");
        return store != null && store.text().equals("unreachable") ? "%.1f".formatted(store.since()) : "";
    }

    /** Returns all of it as one line of text. */
    String text() {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(byTopic)
                .forEach((topic, belief) -> text.append(text.isEmpty() ? "" : ", ")
                        .append("%s %s since %.1f".formatted(topic, belief.text(), belief.since())));
        return text.isEmpty() ? "-" : text.toString();
    }
}
