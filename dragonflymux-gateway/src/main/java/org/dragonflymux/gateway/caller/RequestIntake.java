package org.dragonflymux.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ByteProcessor;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes on bytes to the decoder as far as the connection takes requests, and holds back the rest. At most one header section
 * is passed on at a time, so that a single read with hundreds of requests does not make objects of all of them.
 */
final class RequestIntake extends ChannelInboundHandlerAdapter {

    /** Memory for one header field, of which the decoder makes an entry and two strings. */
    private static final int FIELD_BYTES = 400;
    /** Memory for the objects of one request besides its fields. */
    private static final int REQUEST_BYTES = 1_500;

    private final CallerConnection connection;
    private final RequestCollector collector;
    private final ChunkFraming framing = new ChunkFraming();
    private ByteBuf held;
    private boolean passing;
    /** When the oldest of the held bytes arrived. */
    private long heldSince;

    private int headBytes;
    private int lines;
    private int lineLength;

    RequestIntake(CallerConnection connection, RequestCollector collector) {
        this.connection = connection;
        this.collector = collector;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof ByteBuf bytes) || connection.closing()) {
            ReferenceCountUtil.release(message);
            return;
        }
        connection.bytesRead();
        if (held == null) {
            heldSince = connection.now();
        }
        held = held == null ? bytes : ctx.alloc().compositeBuffer(2).addComponents(true, held, bytes);
        pass(ctx);
    }

    private void pass(ChannelHandlerContext ctx) {
        if (passing) {
            return;
        }
        passing = true;
        while (held != null && held.isReadable() && connection.takesBytes()) {
            boolean mayBeTrailer = collector.inChunkedBody() && framing.mayBeTrailer();
            ByteBuf next = take(ctx, nextLength());
            int trailerLines = mayBeTrailer ? lines(next) : 0;
            long contents = collector.contents();
            ctx.fireChannelRead(next);
            if (!collector.inChunkedBody()) {
                framing.reset();
            }
            if (collector.contents() == contents) {
                // Without content these are lines of a trailer, of which the decoder makes fields.
                lines += trailerLines;
            }
            if (!collector.inBody() && collector.takeHeadCompleted()) {
                headBytes = 0;
                lines = 0;
            }
        }
        passing = false;
        if (held != null && (!held.isReadable() || connection.closing())) {
            releaseHeld();
        }
        connection.usageChanged();
    }

    private ByteBuf take(ChannelHandlerContext ctx, int length) {
        if (collector.inBody() || length < held.readableBytes()) {
            return held.readRetainedSlice(length);
        }
        // The decoder keeps an unfinished header section, and with a slice the whole buffer that it was read into.
        ByteBuf copy = ctx.alloc().buffer(length, length);
        held.readBytes(copy, length);
        return copy;
    }

    private static int lines(ByteBuf bytes) {
        int count = 0;
        for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
            if (bytes.getByte(i) == '\n') {
                count++;
            }
        }
        return count;
    }

    private int nextLength() {
        if (collector.inBody()) {
            return collector.inChunkedBody()
                    ? framing.advance(held)
                    : (int) Math.min(held.readableBytes(), collector.remaining().orElseThrow());
        }
        // Up to the end of the header section or of what was received.
        int end = held.forEachByte(headEnd);
        return end < 0 ? held.readableBytes() : end - held.readerIndex() + 1;
    }

    /** Stops at the line feed that ends a header section. */
    private final ByteProcessor headEnd = new ByteProcessor() {
        @Override
        public boolean process(byte value) {
            headBytes++;
            if (value == '\n') {
                boolean ends = lineLength == 0 && lines > 0;
                lines += lineLength > 0 ? 1 : 0;
                lineLength = 0;
                return !ends;
            }
            if (value != '\r') {
                lineLength++;
            }
            return true;
        }
    };

    /** Returns the memory for the header section that was received so far, 0 if none was begun. */
    long headCharge() {
        return lines == 0 && lineLength == 0 ? 0 : headBytes + (long) FIELD_BYTES * lines + REQUEST_BYTES;
    }

    long heldBytes() {
        return held == null ? 0 : held.capacity();
    }

    /** Goes on with what was held back. */
    void resume(ChannelHandlerContext ctx) {
        pass(ctx);
    }

    /** Returns the earliest time at which a request that is decoded now may have been read. */
    long readAt() {
        return heldSince;
    }

    /** Drops what was received of an unfinished request. */
    void drop() {
        releaseHeld();
        headBytes = 0;
        lines = 0;
        lineLength = 0;
    }

    void releaseHeld() {
        if (held != null && !passing) {
            held.release();
            held = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseHeld();
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        releaseHeld();
    }
}
