package org.dragonflymux.gateway;

import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Logger;

/** A log of events of requests that writes a bounded number of lines a second and says how many it left out. */
final class BoundedLog {

    private static final int LINES_PER_SECOND = 20;

    private final Logger log;
    private int written;
    private long leftOut;
    private long secondEnds;

    BoundedLog(Logger log) {
        this.log = log;
    }

    void info(String message, Object... parameters) {
        if (written < LINES_PER_SECOND) {
            written++;
            log.info(message, parameters);
        } else {
            leftOut++;
        }
    }

    void tick(long now) {
        if (now < secondEnds) {
            return;
        }
        if (leftOut > 0) {
            log.info("event=lines_left_out count={}", leftOut);
        }
        written = 0;
        leftOut = 0;
        secondEnds = now + TimeUnit.SECONDS.toMillis(1);
    }
}
