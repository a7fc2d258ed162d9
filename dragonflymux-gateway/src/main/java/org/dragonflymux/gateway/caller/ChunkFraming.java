package org.dragonflymux.gateway.caller;

import io.netty.buffer.ByteBuf;

/**
 * Follows the framing of a body in chunks, so that all of it up to its trailer can be decoded at once. It rejects nothing: after
 * a size that it can't read, bytes are passed on in small pieces and the decoder judges them.
 */
final class ChunkFraming {

    /** Limit on the bytes of a trailer, or of framing that can't be read, that are passed on at a time. */
    private static final int MAX_PIECE_BYTES = 1_024;

    private static final int RADIX = 16;

    private enum State {
        SIZE,
        EXTENSION,
        DATA,
        DELIMITER,
        TRAILER,
        UNREADABLE
    }

    private State state = State.SIZE;
    private long size;
    private boolean hasDigits;

    /** Starts with the next body. */
    void reset() {
        state = State.SIZE;
        size = 0;
        hasDigits = false;
    }

    /** Returns whether the bytes that follow may be lines of a trailer. */
    boolean mayBeTrailer() {
        return state == State.TRAILER || state == State.UNREADABLE;
    }

    /** Returns how many of the readable bytes can be decoded together, and goes on to the byte behind them. */
    int advance(ByteBuf bytes) {
        int index = bytes.readerIndex();
        int end = bytes.writerIndex();
        if (mayBeTrailer()) {
            int limit = Math.min(MAX_PIECE_BYTES, end - index);
            int lineEnd = state == State.TRAILER ? bytes.indexOf(index, index + limit, (byte) '\n') : -1;
            return lineEnd < 0 ? limit : lineEnd - index + 1;
        }
        while (index < end && !mayBeTrailer()) {
            if (state == State.DATA) {
                long count = Math.min(size, end - index);
                index += (int) count;
                size -= count;
                state = size == 0 ? State.DELIMITER : State.DATA;
            } else {
                next(bytes.getByte(index));
                index++;
            }
        }
        return index - bytes.readerIndex();
    }

    private void next(byte value) {
        if (value == '\n') {
            lineEnded();
        } else if (state == State.SIZE) {
            int digit = Character.digit(value, RADIX);
            if (digit >= 0 && size <= Integer.MAX_VALUE) {
                size = size * RADIX + digit;
                hasDigits = true;
            } else if (hasDigits && (value == ';' || value == ' ' || value == '\t' || value == '\r')) {
                state = State.EXTENSION;
            } else {
                state = State.UNREADABLE;
            }
        }
    }

    private void lineEnded() {
        if (state == State.DELIMITER) {
            reset();
        } else if (!hasDigits) {
            state = State.UNREADABLE;
        } else {
            state = size == 0 ? State.TRAILER : State.DATA;
        }
    }
}
