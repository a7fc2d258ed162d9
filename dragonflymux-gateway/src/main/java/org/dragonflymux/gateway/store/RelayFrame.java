package org.dragonflymux.gateway.store;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Updates of the store that one host sends to another.
 *
 * <p>A frame may stay in buffers for seconds while a connection is interrupted or its reader is suspended, so the time
 * of its arrival does not show how old it is. Therefore the receiver regularly sends timestamps of its own clock, and
 * each frame echoes the latest one together with the time since its arrival at the sender.
 *
 * @param snapshot whether the changes are all existing values and replace what the receiver knows
 * @param changes the changes, and the revision up to which they are complete
 * @param ageMillis the time since the changes were complete
 * @param sinceRecoveryMillis the time since the sender saw the store recover from an outage
 * @param echoTimestamp the receiver's latest timestamp, if any
 */
record RelayFrame(
        boolean snapshot,
        StoreClient.Changes changes,
        long ageMillis,
        long sinceRecoveryMillis,
        Optional<EchoTimestamp> echoTimestamp) {

    /** Limits the memory that a frame can make its reader allocate: a change takes more of it than of the frame. */
    private static final int MAX_CHANGES = 1 << 18;

    /**
     * A timestamp of the receiver, echoed by the sender of the frame.
     *
     * @param time the time at which the receiver sent it, by the receiver's clock
     * @param ageMillis the time since its arrival at the sender of the frame
     */
    record EchoTimestamp(long time, long ageMillis) {}

    /** Returns this frame with the echo timestamp of its receiver. */
    RelayFrame withEcho(Optional<EchoTimestamp> receiverEcho) {
        return new RelayFrame(snapshot, changes, ageMillis, sinceRecoveryMillis, receiverEcho);
    }

    /** Returns a lower bound of the time at which the changes were complete, by the receiver's clock. */
    OptionalLong completeAt() {
        return echoTimestamp
                .map(present -> OptionalLong.of(present.time() + present.ageMillis() - ageMillis))
                .orElse(OptionalLong.empty());
    }

    ByteBuf encode() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packBoolean(snapshot);
            packer.packLong(changes.revision());
            packer.packLong(ageMillis);
            packer.packLong(sinceRecoveryMillis);
            packer.packBoolean(echoTimestamp.isPresent());
            if (echoTimestamp.isPresent()) {
                packer.packLong(echoTimestamp.get().time());
                packer.packLong(echoTimestamp.get().ageMillis());
            }
            packer.packArrayHeader(changes.changes().size());
            for (StoreChange change : changes.changes()) {
                packChange(packer, change);
            }
            return Unpooled.wrappedBuffer(packer.toByteArray());
        }
    }

    private static void packChange(MessageBufferPacker packer, StoreChange change) throws IOException {
        switch (change) {
            case StoreChange.Written(StoredItem item) -> {
                packer.packString(item.key());
                packer.packLong(item.revision());
                packer.packBinaryHeader(item.value().length);
                packer.writePayload(item.value());
            }
            case StoreChange.Removed(String key, long revision) -> {
                packer.packString(key);
                packer.packLong(revision);
                packer.packNil();
            }
        }
    }

    static RelayFrame decode(ByteBuf bytes) throws IOException {
        int size = bytes.readableBytes();
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(ByteBufUtil.getBytes(bytes))) {
            boolean snapshot = unpacker.unpackBoolean();
            long revision = unpacker.unpackLong();
            long age = unpacker.unpackLong();
            long sinceRecovery = unpacker.unpackLong();
            Optional<EchoTimestamp> echoTimestamp = unpacker.unpackBoolean()
                    ? Optional.of(new EchoTimestamp(unpacker.unpackLong(), unpacker.unpackLong()))
                    : Optional.empty();
            List<StoreChange> changes = new ArrayList<>();
            int count = unpacker.unpackArrayHeader();
            if (count > MAX_CHANGES) {
                throw new IOException("too many changes: " + count);
            }
            for (int i = 0; i < count; i++) {
                changes.add(unpackChange(unpacker, size));
            }
            if (unpacker.hasNext()) {
                throw new IOException("bytes after the changes");
            }
            return new RelayFrame(
                    snapshot, new StoreClient.Changes(changes, revision), age, sinceRecovery, echoTimestamp);
        }
    }

    private static StoreChange unpackChange(MessageUnpacker unpacker, int maxValueBytes) throws IOException {
        String key = unpacker.unpackString();
        long revision = unpacker.unpackLong();
        if (unpacker.tryUnpackNil()) {
            return new StoreChange.Removed(key, revision);
        }
        int length = unpacker.unpackBinaryHeader();
        if (length > maxValueBytes) {
            throw new IOException("value too long: " + length);
        }
        byte[] value = unpacker.readPayload(length);
        return new StoreChange.Written(new StoredItem(key, value, revision));
    }
}
