package org.dragonflymux.standin.store;

/**
 * Faults of the stand-in store.
 *
 * @param down whether no call is answered
 * @param delayMillis how long each answer is held back, in milliseconds
 * @param loseAnswers whether calls take effect but their answers are lost
 */
public record StoreFaults(boolean down, int delayMillis, boolean loseAnswers) {

    /** No fault. */
    public static final StoreFaults NONE = new StoreFaults(false, 0, false);
}
