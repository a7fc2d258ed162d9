package org.dragonflymux.standin;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.runtime.settings.Program;
import org.dragonflymux.runtime.settings.Setting;
import org.dragonflymux.runtime.settings.SettingType;
import org.dragonflymux.runtime.settings.Settings;
import org.dragonflymux.runtime.time.MonotonicClock;
import org.dragonflymux.standin.store.StoreServer;
import org.dragonflymux.standin.target.TargetServer;

/** The program {@code dragonfly-standin}, which simulates a store or a target for tests and the quick start. */
public final class StandIn {

    private enum Role {
        STORE,
        TARGET
    }

    private static final Setting<Role> ROLE =
            Setting.required("role", "the component to simulate", SettingType.of("store or target", StandIn::role));
    private static final Setting<InetSocketAddress> LISTEN =
            Setting.required("listen", "the address to listen on", SettingType.ADDRESS);
    private static final Setting<String> NAME =
            Setting.optional("name", "target", "the target's name in its responses", SettingType.TEXT);
    private static final Setting<Fencing> FENCING = Setting.optional(
            "fencing",
            "checked",
            "what the target checks before it runs a request",
            SettingType.of("checked, deadline or none", StandIn::fencing));
    private static final Setting<Integer> SLOTS = Setting.optional(
            "slots", "3", "the maximum number of requests the target runs concurrently", SettingType.number(1, 1024));
    private static final Setting<Integer> SERVICE_MICROS = Setting.optional(
            "service-micros",
            "2000",
            "the service time of a request, in microseconds",
            SettingType.number(0, 60_000_000));
    private static final Setting<Integer> COLD_REQUESTS = Setting.optional(
            "cold-requests",
            "20",
            "the number of requests after a start that take five times as long",
            SettingType.number(0, 100_000));

    private static final Program PROGRAM = new Program(
            "dragonfly-standin",
            "Simulates the platform's store or a target, with fault injection.",
            List.of(ROLE, LISTEN, NAME, FENCING, SLOTS, SERVICE_MICROS, COLD_REQUESTS));

    private StandIn() {}

    private static Role role(String text) {
        return Role.valueOf(text.toUpperCase(java.util.Locale.ROOT));
    }

    private static Fencing fencing(String text) {
        return Fencing.valueOf(text.toUpperCase(java.util.Locale.ROOT));
    }

    /** Runs the program. */
    public static void main(String[] arguments) throws Exception {
        Either<Integer, Settings> settings = PROGRAM.settingsOrExitCode(arguments, System.getenv());
        if (settings.isLeft()) {
            System.exit(settings.getLeft());
        }
        run(settings.get(), MonotonicClock.start());
    }

    private static void run(Settings settings, Clock clock) throws Exception {
        switch (settings.value(ROLE)) {
            case STORE -> StoreServer.start(settings.value(LISTEN), clock);
            case TARGET -> TargetServer.start(settings.value(LISTEN), behaviour(settings), clock);
        }
    }

    private static TargetServer.Behaviour behaviour(Settings settings) {
        return new TargetServer.Behaviour(
                settings.value(NAME),
                settings.value(FENCING),
                settings.value(SLOTS),
                Duration.ofNanos(settings.value(SERVICE_MICROS) * 1000L),
                settings.value(COLD_REQUESTS));
    }
}
