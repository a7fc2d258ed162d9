package org.dragonflymux.core.message;

import java.util.ArrayList;
import java.util.List;

/** Collects the effects of one event. */
public final class Outbox {

    private List<Effect> effects = new ArrayList<>();

    private Outbox() {}

    /** Returns an empty outbox. */
    public static Outbox empty() {
        return new Outbox();
    }

    /** Adds an effect. */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds a message to another entry host. */
    public void send(String address, PeerMessage message) {
        effects.add(new Effect.SendPeer(address, message));
    }

    /** Adds a note for operators. */
    public void note(Observation observation) {
        effects.add(new Effect.Note(observation));
    }

    /** Returns the collected effects and empties the outbox. */
    public List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
