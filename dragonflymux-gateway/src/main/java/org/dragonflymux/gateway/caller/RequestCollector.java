package org.dragonflymux.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.OptionalLong;

/**
 * Collects the parts of a request. Bodies are copied, since a part keeps the whole buffer that it was read into, of which it
 * may be a single byte.
 */
final class RequestCollector extends ChannelInboundHandlerAdapter {

    private static final int MAX_HEAP_BODY_BYTES = 4_096;
    private static final int MIN_BLOCK_BYTES = 512;
    private static final int MAX_BLOCK_BYTES = 65_536;
    private static final int MAX_BLOCKS = Integer.MAX_VALUE;
    /** Memory for the objects of a block. */
    private static final int BLOCK_BYTES = 160;

    private final CallerConnection connection;
    private final int maxBodyBytes;
    private HttpRequest head;
    private CompositeByteBuf body;
    private ByteBuf block;
    private long bodyBytes;
    private long allocatedBytes;
    private OptionalLong length = OptionalLong.empty();
    private boolean headCompleted;
    private long contents;

    RequestCollector(CallerConnection connection, int maxBodyBytes) {
        this.connection = connection;
        this.maxBodyBytes = maxBodyBytes;
    }

    boolean inBody() {
        return head != null;
    }

    boolean inChunkedBody() {
        return head != null && length.isEmpty();
    }

    /** Returns how many parts of bodies were received so far. */
    long contents() {
        return contents;
    }

    /** Returns whether a header section was completed since the last call. */
    boolean takeHeadCompleted() {
        boolean taken = headCompleted;
        headCompleted = false;
        return taken;
    }

    /** Returns how many bytes of the body are missing, if that is known. */
    OptionalLong remaining() {
        return length.isPresent() ? OptionalLong.of(Math.max(1, length.getAsLong() - bodyBytes)) : length;
    }

    /** Returns the memory for the body that was received so far. */
    long bodyCharge() {
        return allocatedBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (connection.closing()) {
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(ctx, request);
            }
            if (message instanceof HttpContent content && head != null) {
                contents++;
                add(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        headCompleted = true;
        connection.partEnded();
        head = request;
        length = OptionalLong.empty();
        if (request.decoderResult().isFailure()) {
            complete(ctx, request.decoderResult());
            return;
        }
        if (HttpUtil.isContentLengthSet(request) && !HttpUtil.isTransferEncodingChunked(request)) {
            length = OptionalLong.of(HttpUtil.getContentLength(request, 0L));
        }
        if (length.orElse(0) > maxBodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            request.headers().remove(HttpHeaderNames.EXPECT);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)
                && request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0) {
            refuse(HttpResponseStatus.EXPECTATION_FAILED);
        }
    }

    private void refuse(HttpResponseStatus status) {
        drop();
        connection.refuse(status);
    }

    private void add(ChannelHandlerContext ctx, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            complete(ctx, content.decoderResult());
            return;
        }
        ByteBuf bytes = content.content();
        if (bodyBytes + bytes.readableBytes() > maxBodyBytes) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        append(ctx, bytes);
        if (content instanceof LastHttpContent) {
            complete(ctx, DecoderResult.SUCCESS);
        }
    }

    private void append(ChannelHandlerContext ctx, ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (block == null || !block.isWritable()) {
                addBlock(ctx, bytes.readableBytes());
            }
            int count = Math.min(bytes.readableBytes(), block.writableBytes());
            block.writeBytes(bytes, count);
            bodyBytes += count;
        }
    }

    private void addBlock(ChannelHandlerContext ctx, int received) {
        finishBlock(ctx);
        // Blocks grow with the body, so that a caller that sends little holds little, whatever length it declares.
        long wanted = Math.max(Math.max(received, MIN_BLOCK_BYTES), bodyBytes);
        int size = (int) Math.min(Math.min(wanted, MAX_BLOCK_BYTES), remaining().orElse(MAX_BLOCK_BYTES));
        boolean onHeap = length.orElse(Long.MAX_VALUE) <= MAX_HEAP_BODY_BYTES;
        block = onHeap ? Unpooled.buffer((int) length.getAsLong()) : ctx.alloc().directBuffer(size, size);
        allocatedBytes += block.capacity() + BLOCK_BYTES;
    }

    private void finishBlock(ChannelHandlerContext ctx) {
        if (block != null) {
            if (body == null) {
                body = ctx.alloc().compositeBuffer(MAX_BLOCKS);
            }
            body.addComponent(true, block);
            block = null;
        }
    }

    private void complete(ChannelHandlerContext ctx, DecoderResult result) {
        ByteBuf content = block == null ? Unpooled.EMPTY_BUFFER : block;
        if (body != null) {
            finishBlock(ctx);
            content = body;
        }
        FullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(), head.method(), head.uri(), content, head.headers(), EmptyHttpHeaders.INSTANCE);
        request.setDecoderResult(result);
        if (HttpUtil.isTransferEncodingChunked(request)) {
            HttpUtil.setTransferEncodingChunked(request, false);
            HttpUtil.setContentLength(request, bodyBytes);
        }
        block = null;
        body = null;
        // The charge of the body passes to the request before the collector forgets it.
        connection.charge(allocatedBytes);
        reset();
        ctx.fireChannelRead(request);
    }

    private void reset() {
        head = null;
        bodyBytes = 0;
        allocatedBytes = 0;
        length = OptionalLong.empty();
    }

    /** Drops an unfinished request. */
    void drop() {
        if (block != null) {
            block.release();
            block = null;
        }
        if (body != null) {
            body.release();
            body = null;
        }
        reset();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        drop();
        ctx.fireChannelInactive();
    }
}
