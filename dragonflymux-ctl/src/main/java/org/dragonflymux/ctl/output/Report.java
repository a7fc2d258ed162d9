package org.dragonflymux.ctl.output;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The result of a command as a table.
 *
 * @param columns the column names
 * @param rows the rows, each with one value per column
 */
public record Report(List<String> columns, List<List<String>> rows) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    public Report {
        columns = List.copyOf(columns);
        rows = List.copyOf(rows);
    }

    /** Returns a report without rows. */
    public static Report of(String... columns) {
        return new Report(List.of(columns), List.of());
    }

    /** Returns a copy of this report with a row appended. */
    public Report with(Object... cells) {
        List<List<String>> extended = new ArrayList<>(rows);
        extended.add(List.of(cells).stream().map(String::valueOf).toList());
        return new Report(columns, extended);
    }

    /** Returns the report as text with aligned columns. */
    public String table() {
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns);
        lines.addAll(rows);
        List<Integer> widths = new ArrayList<>();
        for (int column = 0; column < columns.size(); column++) {
            int at = column;
            widths.add(
                    lines.stream().mapToInt(line -> line.get(at).length()).max().orElse(0));
        }
        return lines.stream().map(line -> alignedRow(line, widths)).collect(Collectors.joining("\n"));
    }

    private static String alignedRow(List<String> line, List<Integer> widths) {
        StringBuilder text = new StringBuilder();
        for (int column = 0; column < line.size(); column++) {
            text.append(("%-" + (widths.get(column) + 2) + "s").formatted(line.get(column)));
        }
        return text.toString().stripTrailing();
    }

    /** Returns the report as a JSON array with one object per row. */
    public String json() {
        ArrayNode array = MAPPER.createArrayNode();
        for (List<String> row : rows) {
            ObjectNode object = array.addObject();
            for (int column = 0; column < columns.size(); column++) {
                object.put(columns.get(column), row.get(column));
            }
        }
        return array.toPrettyString();
    }
}
