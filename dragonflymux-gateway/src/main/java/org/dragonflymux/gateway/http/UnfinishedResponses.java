package org.dragonflymux.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * The unfinished responses of all connections of a pool. If they take too much memory together, the largest one fails, so that
 * targets which send without end do not cost other requests their answers.
 */
final class UnfinishedResponses {

    private final long maxTotalBytes;
    private final Set<Meter> unfinished = new HashSet<>();
    private long totalBytes;

    UnfinishedResponses(long maxTotalBytes) {
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Returns a handler that counts the responses of a connection; it comes before the one that collects them. */
    Meter meter() {
        return new Meter();
    }

    long totalBytes() {
        return totalBytes;
    }

    /** Counts the bytes of the unfinished response of one connection. */
    final class Meter extends ChannelInboundHandlerAdapter {

        private ChannelHandlerContext context;
        private long bytes;
        private boolean failed;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpContent content) {
                add(content.content().readableBytes());
            }
            if (failed) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof LastHttpContent) {
                reset();
            }
            ctx.fireChannelRead(message);
        }

        private void add(int received) {
            bytes += received;
            totalBytes += received;
            unfinished.add(this);
            while (totalBytes > maxTotalBytes) {
                unfinished.stream()
                        .max(Comparator.comparingLong(meter -> meter.bytes))
                        .orElseThrow()
                        .fail();
            }
        }

        private void fail() {
            failed = true;
            reset();
            context.fireExceptionCaught(new TooLongFrameException("unfinished responses take too much memory"));
        }

        private void reset() {
            totalBytes -= bytes;
            bytes = 0;
            unfinished.remove(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            reset();
            ctx.fireChannelInactive();
        }
    }
}
