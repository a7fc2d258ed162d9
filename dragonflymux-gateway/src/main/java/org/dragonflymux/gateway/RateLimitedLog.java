package org.dragonflymux.gateway;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Logger;

/** A log of frequent events that is limited to a number of lines per second and reports how many lines it suppressed. */
public final class RateLimitedLog {

    private static final int LINES_PER_SECOND = 20;

    private final Logger log;
    private int linesWritten;
    private long linesSuppressed;
    private long intervalEnd;

    private RateLimitedLog(Logger log) {
        this.log = log;
    }

    /** Returns a limited log that writes to the given one. */
    public static RateLimitedLog to(Logger log) {
        return new RateLimitedLog(log);
    }

    /** Writes a line, unless too many were written since the last interval began. */
    public void info(String message, Object... parameters) {
        if (linesWritten < LINES_PER_SECOND) {
            linesWritten++;
            log.info(message, parameters);
        } else {
            linesSuppressed++;
        }
    }

    /** Reports suppressed lines and begins the next interval, if one has ended by the given time in milliseconds. */
    public void tick(long now) {
        if (now < intervalEnd) {
            return;
        }
        if (linesSuppressed > 0) {
            log.info("event=lines_left_out count={}", linesSuppressed);
        }
        linesWritten = 0;
        linesSuppressed = 0;
        intervalEnd = now + TimeUnit.SECONDS.toMillis(1);
    }
}
