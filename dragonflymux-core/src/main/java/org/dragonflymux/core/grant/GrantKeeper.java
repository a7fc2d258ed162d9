package org.dragonflymux.core.grant;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.dragonflymux.core.assignment.TargetHealth;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.GrantReply;

/**
 * One dispatcher's grants to one target under one fencing token.
 *
 * <p>A grant names the run of the target it is for and an end on the target's own clock, computed from a reading that the
 * target gave earlier; a grant that arrives late or twice therefore never holds longer than meant. No grant outlasts the
 * dispatcher's own authority. The exchange is also the evidence of the target's life, so that no separate probes are
 * needed.
 */
public final class GrantKeeper {

    /** How often a grant is renewed while the target answers. */
    public static final Duration INTERVAL = Duration.ofMillis(800);

    /**
     * How long a grant holds at most, counted from the reading of the target's clock.
     *
     * <p>The reading came with the grant before, so that this must exceed two intervals.
     */
    public static final Duration LENGTH = Duration.ofMillis(1800);

    /** After what silence a target is taken for lost. */
    public static final Duration SILENCE_LIMIT = Duration.ofMillis(1000);

    /** After how many refused connections in a row a target's process is taken for gone. */
    public static final int REFUSALS_UNTIL_GONE = 2;

    private static final Duration TROUBLED_INTERVAL = Duration.ofMillis(200);
    private static final Duration ALIVE_GAP = Duration.ofMillis(2000);
    private static final Duration HURRY_INTERVAL = Duration.ofMillis(20);
    private static final Duration DRIFT_MARGIN = Duration.ofMillis(50);

    /**
     * A grant to be sent.
     *
     * @param number the grant's number
     * @param boot the run of the target that the grant is for, or empty to ask for it
     * @param validUntilMillis the end on the target's clock, in milliseconds
     */
    public record Grant(long number, String boot, long validUntilMillis) {}

    private record Reading(String boot, long clockMillis, Instant askedAt, Instant receivedAt) {}

    private record Sent(long number, Instant at, String boot, Instant earliestEnd, Instant latestEnd) {}

    private final Fencing fencing;
    private final boolean probing;
    private final Instant startedAt;
    private Reading reading;
    private Sent sent;
    private Instant usableUntil = Instant.MIN;
    private Instant lapsedAt = Instant.MIN;
    private Instant lastAlive = Instant.MIN;
    private Instant aliveSince = Instant.MAX;
    private int refusalsInRow;
    private int silencesInRow;
    private boolean leaving;
    private String servingBoot = "";
    private boolean bootChanged;
    private boolean abandoned;

    private GrantKeeper(Fencing fencing, boolean probing, Instant startedAt) {
        this.fencing = fencing;
        this.probing = probing;
        this.startedAt = startedAt;
    }

    /** Returns a keeper that has given no grant. */
    public static GrantKeeper of(Fencing fencing, Instant now) {
        return new GrantKeeper(fencing, false, now);
    }

    /** Returns a keeper that only looks for the return of a lost target, which owns no key. */
    public static GrantKeeper probing(Fencing fencing, Instant now) {
        return new GrantKeeper(fencing, true, now);
    }

    /**
     * Returns the grant that is due, if any.
     *
     * @param number the number the grant is to have
     * @param authorityUntil until when the dispatcher itself may act
     */
    public Optional<Grant> due(long number, Instant authorityUntil, Instant now) {
        boolean troubled = refusalsInRow + silencesInRow > 0 || lastAlive.equals(Instant.MIN);
        Duration interval = troubled ? TROUBLED_INTERVAL : INTERVAL;
        boolean waiting = sent != null && now.isBefore(sent.at().plus(interval));
        if (waiting || abandoned) {
            return Optional.empty();
        }
        boolean asking = reading == null || !now.isBefore(authorityUntil);
        Sent next = asking ? new Sent(number, now, "", Instant.MIN, Instant.MIN) : grant(number, authorityUntil, now);
        sent = next;
        if (next.latestEnd().isAfter(lapsedAt)) {
            lapsedAt = next.latestEnd();
        }
        long end = asking ? 0 : reading.clockMillis() + length(authorityUntil).toMillis();
        return Optional.of(new Grant(number, next.boot(), end));
    }

    private Duration length(Instant authorityUntil) {
        Duration own = Duration.between(reading.receivedAt(), authorityUntil);
        return own.compareTo(LENGTH) < 0 ? own : LENGTH;
    }

    private Sent grant(long number, Instant authorityUntil, Instant now) {
        Duration length = length(authorityUntil);
        Instant earliest = reading.askedAt().plus(length).minus(DRIFT_MARGIN);
        Instant latest = reading.receivedAt().plus(length).plus(DRIFT_MARGIN);
        return new Sent(number, now, reading.boot(), earliest, latest);
    }

    /** Takes in the reply to a grant. */
    public void replied(long number, GrantReply reply, Instant now) {
        boolean newest = sent != null && sent.number() == number;
        switch (reply) {
            case GrantReply.Answered held -> held(held, newest, now);
            case GrantReply.ConnectionRefused _ -> {
                refusalsInRow++;
                silencesInRow = 0;
            }
            case GrantReply.TimedOut _ -> silencesInRow++;
        }
    }

    private void held(GrantReply.Answered held, boolean newest, Instant now) {
        alive(now);
        leaving = held.leaving();
        if (!newest) {
            return;
        }
        bootChanged = !servingBoot.isEmpty() && !servingBoot.equals(held.boot());
        if (bootChanged) {
            usableUntil = Instant.MIN;
        }
        servingBoot = held.boot();
        if (held.accepted() && sent.boot().equals(held.boot())) {
            usableUntil = sent.earliestEnd();
        }
        boolean first = reading == null || bootChanged;
        reading = new Reading(held.boot(), held.clockMillis(), sent.at(), now);
        if (first) {
            sent = null;
        }
    }

    /** Takes in that a request was answered, which shows that the target lives. */
    public void alive(Instant now) {
        boolean gap = lastAlive.equals(Instant.MIN) || lastAlive.plus(ALIVE_GAP).isBefore(now);
        aliveSince = gap ? now : aliveSince;
        lastAlive = now;
        refusalsInRow = 0;
        silencesInRow = 0;
    }

    /** Makes the next grant due at once, because something went wrong that it may explain. */
    public void hurry(Instant now) {
        boolean longAgo = sent != null && now.isAfter(sent.at().plus(HURRY_INTERVAL));
        sent = longAgo ? null : sent;
    }

    /** Takes in that a connection for a request was refused. */
    public void refused() {
        refusalsInRow++;
    }

    /** Returns since when the target has answered without a longer gap, or {@link Instant#MAX} when it does not. */
    public Instant aliveSince(Instant now) {
        boolean answers =
                !lastAlive.equals(Instant.MIN) && !lastAlive.plus(ALIVE_GAP).isBefore(now);
        return answers ? aliveSince : Instant.MAX;
    }

    /** Returns whether the target was restarted since the last call. */
    public boolean takeRestarted() {
        boolean restarted = bootChanged;
        bootChanged = false;
        return restarted;
    }

    /** Tells whether the target now works under this dispatcher's grant. */
    public boolean usable(Instant now) {
        boolean granted = fencing != Fencing.CHECKED || now.isBefore(usableUntil);
        return granted && !abandoned && !lastAlive.equals(Instant.MIN) && !gone() && !silent(now);
    }

    /**
     * Returns what is known of the target, and abandons the grant for good once the target is lost.
     *
     * @param sentDeadline the latest deadline of the requests whose end is not known, or {@link Instant#MIN}
     */
    public TargetHealth health(Instant sentDeadline, Instant now) {
        if (abandoned) {
            return TargetHealth.LOST;
        }
        if (gone() || silent(now)) {
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

    private boolean silent(Instant now) {
        Instant since = lastAlive.equals(Instant.MIN) ? startedAt : lastAlive;
        return silencesInRow > 0 && !now.isBefore(since.plus(SILENCE_LIMIT));
    }

    // A refused connection shows that the process is gone, and with it all it was sent; silence shows nothing.
    private boolean nothingCanStart(Instant sentDeadline, Instant now) {
        return switch (fencing) {
            case CHECKED -> !now.isBefore(lapsedAt);
            case DEADLINE -> gone() || !now.isBefore(sentDeadline.plus(DRIFT_MARGIN));
            case NONE -> gone();
        };
    }
}
