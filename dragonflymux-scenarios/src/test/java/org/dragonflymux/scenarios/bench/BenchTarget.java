package org.dragonflymux.scenarios.bench;

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

/** A target on the bench. */
final class BenchTarget {

    private static final Duration SERVICE_TIME = Duration.ofMillis(4);
    private static final Duration POLL_WHILE_FROZEN = Duration.ofMillis(20);

    private record Call(Effect.CallTarget effect, Consumer<TargetResult> handler) {}

    private final String name;
    private final String domain;
    private final Fencing fencing;
    private final int slots;
    private final VirtualTimeScheduler time;
    private final Faults faults;
    private final Checkers checkers;
    private final Map<Long, Call> calls = new HashMap<>();
    private TargetModel model;
    private int boots;
    private long lastWork;

    BenchTarget(
            String name,
            String domain,
            Fencing fencing,
            int slots,
            VirtualTimeScheduler time,
            Faults faults,
            Checkers checkers) {
        this.name = name;
        this.domain = domain;
        this.fencing = fencing;
        this.slots = slots;
        this.time = time;
        this.faults = faults;
        this.checkers = checkers;
        restart();
    }

    String name() {
        return name;
    }

    String domain() {
        return domain;
    }

    /** Starts a new run of the target; what the old run had is gone. */
    void restart() {
        boots++;
        model = TargetModel.started(fencing, slots, name + "#" + boots, time.now());
        calls.values().forEach(call -> call.handler().accept(new TargetResult.Broken()));
        calls.clear();
    }

    void leave() {
        model.leave();
    }

    private boolean lost() {
        return faults.lostTargets.contains(name);
    }

    private boolean frozen() {
        return faults.frozenTargets.contains(name);
    }

    void grant(Effect.SendGrant grant, Consumer<GrantReply> handler) {
        if (lost()) {
            handler.accept(new GrantReply.ConnectionRefused());
        } else if (!frozen()) {
            handler.accept(model.grant(grant.fence(), grant.boot(), grant.validUntilMillis(), time.now()));
        } else {
            int boot = boots;
            // A frozen target takes the grant in when it thaws, if it is still the same run.
            whenThawed(() -> {
                if (boot == boots) {
                    model.grant(grant.fence(), grant.boot(), grant.validUntilMillis(), time.now());
                }
            });
        }
    }

    private void whenThawed(Runnable action) {
        time.schedule(POLL_WHILE_FROZEN, () -> {
            if (frozen()) {
                whenThawed(action);
            } else {
                action.run();
            }
        });
    }

    void call(Effect.CallTarget effect, Consumer<TargetResult> handler) {
        if (lost()) {
            handler.accept(new TargetResult.NotSent(true));
            return;
        }
        if (!faults.crashingPath.isEmpty() && effect.request().path().contains(faults.crashingPath)) {
            checkers.crashed(effect.request());
            crash(handler);
            return;
        }
        boolean silent = faults.silentTargets.contains(name) && !effect.freshConnection();
        if (!silent) {
            arrive(effect, handler);
        }
    }

    private void crash(Consumer<TargetResult> handler) {
        handler.accept(new TargetResult.Broken());
        faults.lostTargets.add(name);
        restart();
    }

    private void arrive(Effect.CallTarget effect, Consumer<TargetResult> handler) {
        if (frozen()) {
            int boot = boots;
            whenThawed(() -> {
                if (boot == boots && !lost()) {
                    arrive(effect, handler);
                }
            });
            return;
        }
        TargetModel.Work work =
                new TargetModel.Work(++lastWork, effect.request().key(), effect.fence(), effect.deadline());
        Optional<DeclineReason> refusal = model.arrive(work, time.now());
        if (refusal.isPresent()) {
            handler.accept(new TargetResult.Declined(refusal.get()));
            return;
        }
        calls.put(work.id(), new Call(effect, handler));
        startNext();
    }

    private void startNext() {
        Optional<TargetModel.Start> start = model.start(time.now());
        while (start.isPresent()) {
            TargetModel.Work work = start.get().work();
            Call call = calls.get(work.id());
            if (start.get().refusal().isPresent()) {
                calls.remove(work.id());
                call.handler()
                        .accept(new TargetResult.Declined(start.get().refusal().get()));
            } else {
                int boot = boots;
                checkers.started(name, call.effect().request(), () -> mayTakeEffect(boot, work), time.now());
                int factor = faults.slowTargets.getOrDefault(name, 1);
                time.schedule(SERVICE_TIME.multipliedBy(factor), () -> finish(boot, work));
            }
            start = model.start(time.now());
        }
    }

    private boolean mayTakeEffect(int boot, TargetModel.Work work) {
        return boot == boots && calls.containsKey(work.id()) && model.mayFinish(work, time.now());
    }

    private void finish(int boot, TargetModel.Work work) {
        if (boot != boots || lost()) {
            return;
        }
        if (frozen()) {
            whenThawed(() -> finish(boot, work));
            return;
        }
        Call call = calls.remove(work.id());
        model.finish(work.id());
        if (model.mayFinish(work, time.now())) {
            checkers.finished(name, call.effect().request(), time.now());
            byte[] body = call.effect().request().path().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            call.handler().accept(new TargetResult.Completed(new Outcome.Answered(200, java.util.List.of(), body)));
        } else {
            call.handler().accept(new TargetResult.Broken());
        }
        startNext();
    }
}
