package org.dragonflymux.load.bench;

import java.util.Locale;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/** A cost measured at several sizes, with the straight line fitted through it. */
final class Slope {

    private final String cost;
    private final String size;
    private final SimpleRegression line = new SimpleRegression();
    private final StringBuilder points = new StringBuilder();

    private Slope(String cost, String size) {
        this.cost = cost;
        this.size = size;
    }

    /**
     * Returns a cost without points.
     *
     * @param cost what is measured, with its unit
     * @param size what grows
     */
    static Slope of(String cost, String size) {
        return new Slope(cost, size);
    }

    Slope add(double atSize, double measured) {
        line.addData(atSize, measured);
        points.append(String.format(Locale.ROOT, "%n    at %,.0f %s: %,.3f", atSize, size, measured));
        return this;
    }

    /** Returns the points, the line and the root of the mean squared residual. */
    String text() {
        return String.format(
                Locale.ROOT,
                "%s%s%n    line: %.6g + %.6g per %s, residual %.3g, R2 %.4f",
                cost,
                points,
                line.getIntercept(),
                line.getSlope(),
                size,
                Math.sqrt(line.getMeanSquareError()),
                line.getRSquare());
    }
}
