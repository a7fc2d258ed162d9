package org.dragonflymux.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantEffect.Connection;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.core.shard.KeyRange;
import org.junit.jupiter.api.Test;

/**
 * What the grant state machine relies on in a {@link GrantClient}. The same tests run against the client of the simulation and
 * against a real one. The simulation kept a promise that the real client broke, so that no simulated schedule showed the fault.
 */
public abstract class GrantClientContract {

    protected static final TargetId TARGET = TargetId.of("i-1");
    protected static final KeyRange RANGE = new KeyRange(0, 1_023);

    private static final long FENCE = 5;
    private static final long HOLD_MILLIS = 3_000;
    private static final BooleanSupplier CONFIRMED = () -> true;
    private static final BooleanSupplier NOT_CONFIRMED = () -> false;

    /** Sends a grant to the incarnation of the target that the sender knows, which is the first one, and returns the result. */
    protected abstract GrantResult grant(GrantEffect.Grant grant, BooleanSupplier termConfirmed) throws Exception;

    /** Sends a release to the target, and returns the result. */
    protected abstract GrantResult release(GrantEffect.Release release) throws Exception;

    /** Sends a caller's request to the target, as the sender knows it, and waits for the answer. */
    protected abstract void request() throws Exception;

    /** Ends the sender's term. */
    protected abstract void endTerm() throws Exception;

    /** Ends the target's process. */
    protected abstract void endTarget() throws Exception;

    /** Starts a later incarnation of the target at its address. It knows nothing of the earlier one. */
    protected abstract void startTarget() throws Exception;

    /** Gives the address of a target that has ended to the process of another one. */
    protected abstract void startOtherAtAddress() throws Exception;

    /** Returns whether the present incarnation of the target holds the keys. */
    protected abstract boolean holdsKeys();

    private GrantResult grant(long fence, Connection connection, BooleanSupplier termConfirmed) throws Exception {
        return grant(
                new GrantEffect.Grant(1, TARGET, RANGE, fence, HOLD_MILLIS, Optional.empty(), connection),
                termConfirmed);
    }

    private GrantResult renewalWithoutLease() throws Exception {
        return grant(FENCE, Connection.PROVEN, NOT_CONFIRMED);
    }

    @Test
    void a_renewal_without_lease_reaches_the_process_that_took_a_grant() throws Exception {
        assertThat(grant(FENCE, Connection.ANY, CONFIRMED)).isInstanceOf(GrantResult.Done.class);

        assertThat(renewalWithoutLease()).isInstanceOf(GrantResult.Done.class);
    }

    @Test
    void a_renewal_without_lease_reaches_no_process_that_took_no_grant() throws Exception {
        assertThat(renewalWithoutLease()).isEqualTo(new GrantResult.NotSent());
        assertThat(holdsKeys()).isFalse();
    }

    /** Two targets held the same keys: a request had opened a connection to the later incarnation, and the renewal went out on it. */
    @Test
    void a_renewal_without_lease_reaches_no_later_incarnation_that_was_sent_requests() throws Exception {
        grant(FENCE, Connection.ANY, CONFIRMED);
        endTarget();
        startTarget();
        request();

        assertThat(renewalWithoutLease()).isNotInstanceOf(GrantResult.Done.class);
        assertThat(renewalWithoutLease()).isEqualTo(new GrantResult.NotSent());
        assertThat(holdsKeys()).isFalse();
    }

    @Test
    void a_renewal_without_lease_reaches_a_later_incarnation_that_took_a_grant() throws Exception {
        grant(FENCE, Connection.ANY, CONFIRMED);
        endTarget();
        startTarget();
        if (!(grant(FENCE, Connection.ANY, CONFIRMED) instanceof GrantResult.Done)) {
            // The end of the earlier connection may show only when it is used.
            assertThat(grant(FENCE, Connection.ANY, CONFIRMED)).isInstanceOf(GrantResult.Done.class);
        }

        assertThat(renewalWithoutLease()).isInstanceOf(GrantResult.Done.class);
    }

    /** A process that refuses a grant has seen a later grantor's token, but not necessarily for all keys of its grants. */
    @Test
    void a_target_that_refuses_a_grant_is_not_proven() throws Exception {
        grant(FENCE + 1, Connection.ANY, CONFIRMED);
        assertThat(grant(FENCE, Connection.ANY, CONFIRMED)).isEqualTo(new GrantResult.Fenced());

        assertThat(renewalWithoutLease()).isEqualTo(new GrantResult.NotSent());
    }

    @Test
    void a_term_that_has_ended_proves_no_target() throws Exception {
        grant(FENCE, Connection.ANY, CONFIRMED);
        endTerm();

        assertThat(renewalWithoutLease()).isEqualTo(new GrantResult.NotSent());
    }

    /** A grant could wait for its connection until the lease had ended and the next grantor had moved the keys. */
    @Test
    void a_grant_is_not_written_to_a_new_connection_once_the_lease_has_ended() throws Exception {
        AtomicInteger asked = new AtomicInteger();

        assertThat(grant(FENCE, Connection.ANY, () -> asked.getAndIncrement() == 0))
                .isEqualTo(new GrantResult.NotSent());
        assertThat(holdsKeys()).isFalse();
    }

    @Test
    void a_grant_may_use_a_proven_connection_once_the_lease_has_ended() throws Exception {
        grant(FENCE, Connection.ANY, CONFIRMED);

        assertThat(grant(FENCE, Connection.ANY, NOT_CONFIRMED)).isInstanceOf(GrantResult.Done.class);
    }

    @Test
    void calls_to_a_target_that_is_not_there_are_not_sent() throws Exception {
        endTarget();

        assertThat(grant(FENCE, Connection.ANY, CONFIRMED)).isEqualTo(new GrantResult.NotSent());
        assertThat(release(new GrantEffect.Release(2, TARGET, RANGE, FENCE))).isEqualTo(new GrantResult.NotSent());
    }

    @Test
    void another_process_at_the_address_shows_that_the_target_has_ended_and_is_not_proven() throws Exception {
        endTarget();
        startOtherAtAddress();

        assertThat(grant(FENCE, Connection.ANY, CONFIRMED)).isEqualTo(new GrantResult.TargetEnded());
        assertThat(release(new GrantEffect.Release(2, TARGET, RANGE, FENCE))).isEqualTo(new GrantResult.TargetEnded());
        assertThat(renewalWithoutLease()).isEqualTo(new GrantResult.NotSent());
    }

    @Test
    void a_release_reaches_a_target_without_proof() throws Exception {
        assertThat(release(new GrantEffect.Release(2, TARGET, RANGE, FENCE))).isInstanceOf(GrantResult.Done.class);
    }
}
