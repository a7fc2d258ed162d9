package org.dragonflymux.load.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.dragonflymux.load.run.Result;
import org.dragonflymux.load.run.RunRecord;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots latency percentiles and outcomes of a run over time. */
public final class RunPlot {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int DOTS_PER_INCH = 110;

    private RunPlot() {}

    /** Writes the files {@code latency.png} and {@code outcomes.png}. */
    public static void write(RunRecord record, Path folder) throws IOException {
        XYChart latency = chart("Latency of successful requests", "milliseconds");
        latency.getStyler().setYAxisLogarithmic(true);
        addSeries(latency, "p50", record, statistics -> Math.max(0.01, statistics.latencyMillis(50)));
        addSeries(latency, "p99", record, statistics -> Math.max(0.01, statistics.latencyMillis(99)));
        addSeries(latency, "max", record, statistics -> Math.max(0.01, statistics.latencyMillis(100)));
        save(latency, folder.resolve("latency"));
        XYChart outcomes = chart("Outcomes", "requests per second");
        for (Result result : Result.values()) {
            addSeries(
                    outcomes,
                    result.name().toLowerCase(java.util.Locale.ROOT),
                    record,
                    statistics -> statistics.count(result));
        }
        save(outcomes, folder.resolve("outcomes"));
    }

    private static XYChart chart(String title, String unit) {
        return new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .yAxisTitle(unit)
                .build();
    }

    private static void addSeries(
            XYChart chart, String name, RunRecord record, ToDoubleFunction<RunRecord.Statistics> value) {
        List<Double> seconds = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (Map.Entry<Long, RunRecord.Statistics> entry : record.bySecond().entrySet()) {
            seconds.add((double) entry.getKey());
            values.add(value.applyAsDouble(entry.getValue()));
        }
        chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
    }

    private static void save(XYChart chart, Path file) throws IOException {
        BitmapEncoder.saveBitmapWithDPI(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG, DOTS_PER_INCH);
    }
}
