package org.dragonflymux.scenarios.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.message.Effect;
import org.dragonflymux.core.message.GrantReply;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.TargetResult;
import org.dragonflymux.core.message.TargetResult.DeclineReason;
import org.dragonflymux.standin.target.TargetModel;
import org.dragonflymux.standin.time.VirtualTimeScheduler;

/** A simulated target, driven by virtual time and subject to injected faults. */
final class SimulatedTarget {

    private static final Duration SERVICE_TIME = Duration.ofMillis(4);
    private static final Duration POLL_WHILE_FROZEN = Duration.ofMillis(20);

    private record Call(Effect.CallTarget effect, Consumer<TargetResult> handler) {}

    private final String name;
    private final String domain;
    private final Fencing fencing;
    private final int slots;
    private final VirtualTimeScheduler scheduler;
    private final Faults faults;
    private final InvariantChecker invariantChecker;
    private final Map<Long, Call> calls = new HashMap<>();
    private TargetModel model;
    private int bootNumber;
    private long lastRequestId;

    SimulatedTarget(
            String name,
            String domain,
            Fencing fencing,
            int slots,
            VirtualTimeScheduler scheduler,
            Faults faults,
            InvariantChecker invariantChecker) {
        this.name = name;
        this.domain = domain;
        this.fencing = fencing;
        this.slots = slots;
        this.scheduler = scheduler;
        this.faults = faults;
        this.invariantChecker = invariantChecker;
        restart();
    }

    String name() {
        return name;
    }

    String domain() {
        return domain;
    }

    /** Restarts the target's process, which loses its grant and all its requests. */
    void restart() {
        bootNumber++;
        model = TargetModel.started(fencing, slots, name + "#" + bootNumber, scheduler.now());
        calls.values().forEach(call -> call.handler().accept(new TargetResult.Broken()));
        calls.clear();
    }

    void leave() {
        model.leave();
    }

    private boolean stopped() {
        return faults.stoppedTargets.contains(name);
    }

    private boolean frozen() {
        return faults.frozenTargets.contains(name);
    }

    void grant(Effect.SendGrant grant, Consumer<GrantReply> handler) {
        if (stopped()) {
            handler.accept(new GrantReply.ConnectionRefused());
        } else if (!frozen()) {
            handler.accept(model.grant(grant.fence(), grant.boot(), grant.validUntilMillis(), scheduler.now()));
        } else {
            int boot = bootNumber;
            // A frozen target handles the grant once it thaws, unless it was restarted in the meantime.
            whenThawed(() -> {
                if (boot == bootNumber) {
                    model.grant(grant.fence(), grant.boot(), grant.validUntilMillis(), scheduler.now());
                }
            });
        }
    }

    private void whenThawed(Runnable action) {
        scheduler.schedule(POLL_WHILE_FROZEN, () -> {
            if (frozen()) {
                whenThawed(action);
            } else {
                action.run();
            }
        });
    }

    void call(Effect.CallTarget effect, Consumer<TargetResult> handler) {
        if (stopped()) {
            handler.accept(new TargetResult.NotSent(true));
            return;
        }
        if (!faults.crashOnPath.isEmpty() && effect.request().path().contains(faults.crashOnPath)) {
            invariantChecker.targetCrashed(effect.request());
            crash(handler);
            return;
        }
        boolean silent = faults.silentConnections.contains(name) && !effect.freshConnection();
        if (!silent) {
            submit(effect, handler);
        }
    }

    private void crash(Consumer<TargetResult> handler) {
        handler.accept(new TargetResult.Broken());
        faults.stoppedTargets.add(name);
        restart();
    }

    private void submit(Effect.CallTarget effect, Consumer<TargetResult> handler) {
        if (frozen()) {
            int boot = bootNumber;
            whenThawed(() -> {
                if (boot == bootNumber && !stopped()) {
                    submit(effect, handler);
                }
            });
            return;
        }
        TargetModel.TargetRequest request = new TargetModel.TargetRequest(
                ++lastRequestId, effect.request().key(), effect.fence(), effect.deadline());
        Optional<DeclineReason> declineReason = model.submit(request, scheduler.now());
        if (declineReason.isPresent()) {
            handler.accept(new TargetResult.Declined(declineReason.get()));
            return;
        }
        calls.put(request.id(), new Call(effect, handler));
        startNext();
    }

    private void startNext() {
        Optional<TargetModel.DequeuedRequest> next = model.startNext(scheduler.now());
        while (next.isPresent()) {
            TargetModel.TargetRequest request = next.get().request();
            Call call = calls.get(request.id());
            if (next.get().declineReason().isPresent()) {
                calls.remove(request.id());
                call.handler()
                        .accept(new TargetResult.Declined(
                                next.get().declineReason().get()));
            } else {
                int boot = bootNumber;
                invariantChecker.requestStarted(
                        name, call.effect().request(), () -> mayTakeEffect(boot, request), scheduler.now());
                int factor = faults.slowTargets.getOrDefault(name, 1);
                scheduler.schedule(SERVICE_TIME.multipliedBy(factor), () -> finish(boot, request));
            }
            next = model.startNext(scheduler.now());
        }
    }

    private boolean mayTakeEffect(int boot, TargetModel.TargetRequest request) {
        return boot == bootNumber && calls.containsKey(request.id()) && model.mayTakeEffect(request, scheduler.now());
    }

    private void finish(int boot, TargetModel.TargetRequest request) {
        if (boot != bootNumber || stopped()) {
            return;
        }
        if (frozen()) {
            whenThawed(() -> finish(boot, request));
            return;
        }
        Call call = calls.remove(request.id());
        model.finish(request.id());
        if (model.mayTakeEffect(request, scheduler.now())) {
            invariantChecker.requestCompleted(name, call.effect().request(), scheduler.now());
            byte[] body = call.effect().request().path().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            call.handler().accept(new TargetResult.Completed(new Outcome.Answered(200, java.util.List.of(), body)));
        } else {
            call.handler().accept(new TargetResult.Broken());
        }
        startNext();
    }
}
