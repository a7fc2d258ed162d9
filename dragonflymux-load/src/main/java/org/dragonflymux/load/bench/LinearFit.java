package org.dragonflymux.load.bench;

import java.util.Locale;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/** A cost measured at several sizes, with a straight line fitted by least squares. */
final class LinearFit {

    private final String label;
    private final String sizeUnit;
    private final SimpleRegression regression = new SimpleRegression();
    private final StringBuilder points = new StringBuilder();

    private LinearFit(String label, String sizeUnit) {
        this.label = label;
        this.sizeUnit = sizeUnit;
    }

    /**
     * Returns a fit without points.
     *
     * @param label the measured cost with its unit
     * @param sizeUnit the unit of the size
     */
    static LinearFit of(String label, String sizeUnit) {
        return new LinearFit(label, sizeUnit);
    }

    LinearFit add(double size, double measured) {
        regression.addData(size, measured);
        points.append(String.format(Locale.ROOT, "%n    at %,.0f %s: %,.3f", size, sizeUnit, measured));
        return this;
    }

    /** Returns the points, the fitted line, the root mean square error and the coefficient of determination. */
    String text() {
        return String.format(
                Locale.ROOT,
                "%s%s%n    line: %.6g + %.6g per %s, residual %.3g, R2 %.4f",
                label,
                points,
                regression.getIntercept(),
                regression.getSlope(),
                sizeUnit,
                Math.sqrt(regression.getMeanSquareError()),
                regression.getRSquare());
    }
}
