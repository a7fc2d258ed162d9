package org.dragonflymux.core.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.GrantReply;

/**
 * Manages the grants of one dispatcher to one target under one fencing token.
 *
 * <p>A grant names the boot id of the target process that it is for, and an end on the target's own clock. The end
 * is computed from a reading of that clock in an earlier reply, so that a grant that arrives late or twice never holds
 * longer than intended. No grant outlasts the dispatcher's own authority. The replies also show whether the target is
 * alive, so that no separate health checks are needed.
 */
public final class GrantManager {

    /** The interval at which a grant is renewed while the target answers. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofMillis(800);

    /**
     * The maximum duration of a grant, counted from the reading of the target's clock.
     *
     * <p>The reading comes from the reply to the previous grant, so that this must exceed two renewal intervals.
     */
    public static final Duration MAX_GRANT_DURATION = Duration.ofMillis(1800);

    /** The time without any answer after which a target is considered unresponsive. */
    public static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofMillis(1000);

    /** The number of consecutive refused connections after which a target's process is considered gone. */
    public static final int REFUSALS_UNTIL_GONE = 2;

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);
    private static final Duration MAX_ALIVE_GAP = Duration.ofMillis(2000);
    private static final Duration MIN_INTERVAL = Duration.ofMillis(20);
    private static final Duration DRIFT_MARGIN = Duration.ofMillis(50);

    /**
     * A grant to be sent.
     *
     * @param number the number of the grant
     * @param boot the boot id of the target process that the grant is for, or empty to ask for the current one and the
     *     clock
     * @param validUntilMillis the end of the grant on the target's clock, in milliseconds
     */
    public record Grant(long number, String boot, long validUntilMillis) {}

    private record Reading(String boot, long clockMillis, Instant askedAt, Instant receivedAt) {}

    private record SentGrant(long number, Instant at, String boot, Instant earliestEnd, Instant latestEnd) {}

    private final Fencing fencing;
    private final boolean probing;
    private final Instant startedAt;
    private Reading reading;
    private SentGrant sent;
    private Instant usableUntil = Instant.MIN;
    private Instant latestGrantEnd = Instant.MIN;
    private Instant lastAlive = Instant.MIN;
    private Instant aliveSince = Instant.MAX;
    private int refusalsInRow;
    private int timeoutsInRow;
    private boolean leaving;
    private String lastBoot = "";
    private boolean bootChanged;
    private boolean abandoned;

    private GrantManager(Fencing fencing, boolean probing, Instant startedAt) {
        this.fencing = fencing;
        this.probing = probing;
        this.startedAt = startedAt;
    }

    /** Returns a manager that has given no grant yet. */
    public static GrantManager of(Fencing fencing, Instant now) {
        return new GrantManager(fencing, false, now);
    }

    /** Returns a manager that only detects the return of a lost target, which owns no keys. */
    public static GrantManager probing(Fencing fencing, Instant now) {
        return new GrantManager(fencing, true, now);
    }

    /**
     * Returns the grant that is due, if any.
     *
     * @param number the number for the grant
     * @param authorityUntil the end of the dispatcher's own authority
     */
    public Optional<Grant> due(long number, Instant authorityUntil, Instant now) {
        boolean unconfirmed = refusalsInRow + timeoutsInRow > 0 || lastAlive.equals(Instant.MIN);
        Duration interval = unconfirmed ? PROBE_INTERVAL : RENEWAL_INTERVAL;
        boolean waiting = sent != null && now.isBefore(sent.at().plus(interval));
        if (waiting || abandoned) {
            return Optional.empty();
        }
        boolean asking = reading == null || !now.isBefore(authorityUntil);
        SentGrant next =
                asking ? new SentGrant(number, now, "", Instant.MIN, Instant.MIN) : grant(number, authorityUntil, now);
        sent = next;
        if (next.latestEnd().isAfter(latestGrantEnd)) {
            latestGrantEnd = next.latestEnd();
        }
        long end = asking
                ? 0
                : reading.clockMillis() + grantDuration(authorityUntil).toMillis();
        return Optional.of(new Grant(number, next.boot(), end));
    }

    private Duration grantDuration(Instant authorityUntil) {
        Duration remainingAuthority = Duration.between(reading.receivedAt(), authorityUntil);
        return remainingAuthority.compareTo(MAX_GRANT_DURATION) < 0 ? remainingAuthority : MAX_GRANT_DURATION;
    }

    private SentGrant grant(long number, Instant authorityUntil, Instant now) {
        Duration duration = grantDuration(authorityUntil);
        Instant earliest = reading.askedAt().plus(duration).minus(DRIFT_MARGIN);
        Instant latest = reading.receivedAt().plus(duration).plus(DRIFT_MARGIN);
        return new SentGrant(number, now, reading.boot(), earliest, latest);
    }

    /** Handles the reply to a grant. */
    public void handleReply(long number, GrantReply reply, Instant now) {
        boolean newest = sent != null && sent.number() == number;
        switch (reply) {
            case GrantReply.Answered answered -> handleAnswered(answered, newest, now);
            case GrantReply.ConnectionRefused _ -> {
                refusalsInRow++;
                timeoutsInRow = 0;
            }
            case GrantReply.TimedOut _ -> timeoutsInRow++;
        }
    }

    private void handleAnswered(GrantReply.Answered answered, boolean newest, Instant now) {
        recordAlive(now);
        leaving = answered.leaving();
        if (!newest) {
            return;
        }
        bootChanged = !lastBoot.isEmpty() && !lastBoot.equals(answered.boot());
        if (bootChanged) {
            usableUntil = Instant.MIN;
        }
        lastBoot = answered.boot();
        if (answered.accepted() && sent.boot().equals(answered.boot())) {
            usableUntil = sent.earliestEnd();
        }
        boolean first = reading == null || bootChanged;
        reading = new Reading(answered.boot(), answered.clockMillis(), sent.at(), now);
        if (first) {
            sent = null;
        }
    }

    /** Records an answer of the target, which shows that it is alive. */
    public void recordAlive(Instant now) {
        boolean gap =
                lastAlive.equals(Instant.MIN) || lastAlive.plus(MAX_ALIVE_GAP).isBefore(now);
        aliveSince = gap ? now : aliveSince;
        lastAlive = now;
        refusalsInRow = 0;
        timeoutsInRow = 0;
    }

    /** Makes the next grant due immediately, unless one was just sent, to learn the target's state after a failure. */
    public void renewSoon(Instant now) {
        boolean longAgo = sent != null && now.isAfter(sent.at().plus(MIN_INTERVAL));
        sent = longAgo ? null : sent;
    }

    /** Records that a connection for a request was refused. */
    public void recordRefusedConnection() {
        refusalsInRow++;
    }

    /**
     * Returns the time since which the target has answered without a long gap, or {@link Instant#MAX} if it does not.
     */
    public Instant aliveSince(Instant now) {
        boolean answers =
                !lastAlive.equals(Instant.MIN) && !lastAlive.plus(MAX_ALIVE_GAP).isBefore(now);
        return answers ? aliveSince : Instant.MAX;
    }

    /** Returns whether the target was restarted since the last call, and resets that state. */
    public boolean takeRestarted() {
        boolean restarted = bootChanged;
        bootChanged = false;
        return restarted;
    }

    /** Returns whether requests may be sent to the target under this dispatcher's grant now. */
    public boolean usable(Instant now) {
        boolean granted = fencing != Fencing.CHECKED || now.isBefore(usableUntil);
        return granted && !abandoned && !lastAlive.equals(Instant.MIN) && !gone() && !unresponsive(now);
    }

    /**
     * Returns the target's health, and permanently stops granting once the target is lost.
     *
     * @param sentDeadline the latest deadline of the requests without a known result, or {@link Instant#MIN}
     */
    public TargetHealth health(Instant sentDeadline, Instant now) {
        if (abandoned) {
            return TargetHealth.LOST;
        }
        if (gone() || unresponsive(now)) {
            if (probing) {
                return TargetHealth.LOST;
            }
            abandoned = nothingCanStart(sentDeadline, now);
            return abandoned ? TargetHealth.LOST : TargetHealth.UNCERTAIN;
        }
        if (lastAlive.equals(Instant.MIN)) {
            return TargetHealth.UNCERTAIN;
        }
        return leaving ? TargetHealth.LEAVING : TargetHealth.READY;
    }

    private boolean gone() {
        return refusalsInRow >= REFUSALS_UNTIL_GONE;
    }

    private boolean unresponsive(Instant now) {
        Instant since = lastAlive.equals(Instant.MIN) ? startedAt : lastAlive;
        return timeoutsInRow > 0 && !now.isBefore(since.plus(UNRESPONSIVE_TIMEOUT));
    }

    // Refused connections show that the process is gone, with all requests sent to it; missing answers show nothing.
    private boolean nothingCanStart(Instant sentDeadline, Instant now) {
        return switch (fencing) {
            case CHECKED -> !now.isBefore(latestGrantEnd);
            case DEADLINE -> gone() || !now.isBefore(sentDeadline.plus(DRIFT_MARGIN));
            case NONE -> gone();
        };
    }
}
