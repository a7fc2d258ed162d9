package org.dragonflymux.core.message;

import java.util.ArrayList;
import java.util.List;

/** Buffers the effects of the event being handled. */
public final class Outbox {

    private List<Effect> effects = new ArrayList<>();

    private Outbox() {}

    /** Returns an empty outbox. */
    public static Outbox empty() {
        return new Outbox();
    }

    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds a message to another entry host. */
    public void send(String address, PeerMessage message) {
        effects.add(new Effect.SendPeer(address, message));
    }

    /** Adds an observation for logs and metrics. */
    public void note(Observation observation) {
        effects.add(new Effect.Note(observation));
    }

    /** Returns the buffered effects and empties the buffer. */
    public List<Effect> drain() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }
}
