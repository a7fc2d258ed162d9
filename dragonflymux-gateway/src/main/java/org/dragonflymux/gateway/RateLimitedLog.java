package org.dragonflymux.gateway;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Logger;

/** A log of request events that is limited to a number of lines per second and reports how many lines it suppressed. */
final class RateLimitedLog {

    private static final int LINES_PER_SECOND = 20;

    private final Logger log;
    private int linesWritten;
    private long linesSuppressed;
    private long intervalEnd;

    RateLimitedLog(Logger log) {
        this.log = log;
    }

    void info(String message, Object... parameters) {
        if (linesWritten < LINES_PER_SECOND) {
            linesWritten++;
            log.info(message, parameters);
        } else {
            linesSuppressed++;
        }
    }

    void tick(long now) {
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
