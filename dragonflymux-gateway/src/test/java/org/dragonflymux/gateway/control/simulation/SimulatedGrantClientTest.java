package org.dragonflymux.gateway.control.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.shard.GrantEffect;
import org.dragonflymux.core.shard.GrantResult;
import org.dragonflymux.gateway.control.GrantClientContract;

/** Checks that the simulation promises no more than real clients do. */
class SimulatedGrantClientTest extends GrantClientContract {

    private static final long CALL_TIMEOUT_MILLIS = 500;
    private static final long CALL_MILLIS = 2 * CALL_TIMEOUT_MILLIS;

    private final VirtualTime time = new VirtualTime();
    private final SimulatedStore store = new SimulatedStore(time, new SplittableRandom(1));
    private final SimulatedTargets targets =
            new SimulatedTargets(List.of(TARGET), ServiceName.of("keyed"), time, store, new SplittableRandom(2));
    private final SimulatedTarget target = targets.all().getFirst();
    private final TargetEntry known = target.entry();
    private final SimulatedGrantClient client = new SimulatedGrantClient("host-1", targets, Runnable::run);

    private GrantResult resultOf(Consumer<Consumer<GrantResult>> call) {
        List<GrantResult> results = new ArrayList<>();
        call.accept(results::add);
        time.runUntil(time.now() + CALL_MILLIS);
        assertThat(results).hasSize(1);
        return results.getFirst();
    }

    @Override
    protected GrantResult grant(GrantEffect.Grant grant, BooleanSupplier termConfirmed) {
        return resultOf(result -> client.grant(known, grant, CALL_TIMEOUT_MILLIS, termConfirmed, result));
    }

    @Override
    protected GrantResult release(GrantEffect.Release release) {
        return resultOf(result -> client.release(known, release, CALL_TIMEOUT_MILLIS, result));
    }

    /** Requests are not simulated, as their connections carry no grants. */
    @Override
    protected void request() {}

    @Override
    protected void endTerm() {
        client.termEnded();
    }

    @Override
    protected void endTarget() {
        target.crash();
    }

    @Override
    protected void startTarget() {
        time.runUntil(time.now() + 1);
        targets.start(target);
    }

    @Override
    protected void startOtherAtAddress() {
        targets.reuseAddress(target);
    }

    @Override
    protected boolean holdsKeys() {
        return target.holds(SimulatedTarget.firstKey(RANGE), time.now());
    }
}
