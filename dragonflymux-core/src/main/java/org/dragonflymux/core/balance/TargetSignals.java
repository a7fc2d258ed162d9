package org.dragonflymux.core.balance;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a target says about itself in an answer, whatever the answer is.
 *
 * @param load its load, if stated
 * @param leaving whether it is shutting down and wants no new requests
 * @param pauseMillis for how long it wants no requests from this host, if stated
 */
public record TargetSignals(Optional<LoadReport> load, boolean leaving, OptionalLong pauseMillis) {}
