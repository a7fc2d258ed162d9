package org.dragonflymux.standin.store;

/**
 * The faults to inject into the stand-in store.
 *
 * @param down whether calls are neither processed nor answered
 * @param delayMillis the delay of each response, in milliseconds
 * @param loseAnswers whether calls take effect but no response is sent
 */
public record StoreFaults(boolean down, int delayMillis, boolean loseAnswers) {

    public static final StoreFaults NONE = new StoreFaults(false, 0, false);
}
