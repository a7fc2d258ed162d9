package org.dragonflymux.ctl.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An event in the log of a host.
 *
 * @param seconds the time of the event
 * @param host the host that logged it
 * @param event the name of the event
 * @param fields the values by field name
 */
record LogLine(double seconds, String host, String event, Map<String, String> fields) {

    private static final Pattern LINE = Pattern.compile(
            "^\\s*(?<seconds>-?\\d+(?:\\.\\d+)?)\\s+(?<host>\\S+)\\s.*?event=(?<event>\\w+)(?<fields>.*)$");
    private static final Pattern FIELD = Pattern.compile("(\\w+)=(\\S+)");

    LogLine {
        fields = Map.copyOf(fields);
    }

    /** Parses a line that begins with a time in seconds and a host name; returns empty for any other line. */
    static Optional<LogLine> parse(String text) {
        Matcher line = LINE.matcher(text);
        if (!line.matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(line.group("fields"));
        while (field.find()) {
            fields.put(field.group(1), field.group(2));
        }
        return Optional.of(new LogLine(
                Double.parseDouble(line.group("seconds")), line.group("host"), line.group("event"), fields));
    }

    /** Returns the value of a field, or a dash if the line has no such field. */
    String field(String name) {
        return fields.getOrDefault(name, "-");
    }

    /** Returns the value of a numeric field, or zero if the line has no such field. */
    long number(String name) {
        String value = fields.get(name);
        return value == null ? 0 : Long.parseLong(value);
    }

    /** Returns whether the line is about a request. */
    boolean concerns(String requestId) {
        return requestId.equals(fields.get("id"));
    }
}
