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

/** Plots a run over time: latency percentiles, and outcomes. */
public final class RunPlot {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int DOTS_PER_INCH = 110;

    private RunPlot() {}

    /** Writes two PNG files beside each other: latency and outcomes. */
    public static void write(RunRecord record, Path folder) throws IOException {
        XYChart latency = chart("Latency of answered requests", "milliseconds");
        latency.getStyler().setYAxisLogarithmic(true);
        add(latency, "p50", record, figures -> Math.max(0.01, figures.millisAt(50)));
        add(latency, "p99", record, figures -> Math.max(0.01, figures.millisAt(99)));
        add(latency, "max", record, figures -> Math.max(0.01, figures.millisAt(100)));
        save(latency, folder.resolve("latency"));
        XYChart outcomes = chart("Outcomes", "requests a second");
        for (Result result : Result.values()) {
            add(outcomes, result.name().toLowerCase(java.util.Locale.ROOT), record, figures -> figures.count(result));
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

    private static void add(XYChart chart, String name, RunRecord record, ToDoubleFunction<RunRecord.Figures> value) {
        List<Double> seconds = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (Map.Entry<Long, RunRecord.Figures> entry : record.bySecond().entrySet()) {
            seconds.add((double) entry.getKey());
            values.add(value.applyAsDouble(entry.getValue()));
        }
        chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
    }

    private static void save(XYChart chart, Path file) throws IOException {
        BitmapEncoder.saveBitmapWithDPI(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG, DOTS_PER_INCH);
    }
}
