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
 * News of the store from one host to another.
 *
 * <p>How long a frame was on its way can't be told from it: it may lie in buffers for seconds while a connection is cut or
 * its reader is suspended. So its receiver sends marks that bear its own time, and a frame tells when the latest one came.
 *
 * @param whole whether the changes are all values there are, in place of what was known
 * @param changes the changes, and the revision up to which they are complete
 * @param ageMillis how long ago they were complete
 * @param returnedMillis how long ago the store came back after an outage, as the sender saw it
 * @param mark the receiver's latest mark, or none
 */
record RelayFrame(
        boolean whole, StoreClient.Changes changes, long ageMillis, long returnedMillis, Optional<Mark> mark) {

    /**
     * A receiver's mark, as the sender of news has it.
     *
     * @param time the receiver's time at which it was sent
     * @param ageMillis how long ago it came
     */
    record Mark(long time, long ageMillis) {}

    /** Returns this frame with its receiver's mark. */
    RelayFrame marked(Optional<Mark> receiversMark) {
        return new RelayFrame(whole, changes, ageMillis, returnedMillis, receiversMark);
    }

    /** Returns at which time of the receiver the changes were complete, at the earliest. */
    OptionalLong completeAt() {
        return mark.map(present -> OptionalLong.of(present.time() + present.ageMillis() - ageMillis))
                .orElse(OptionalLong.empty());
    }

    ByteBuf encode() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packBoolean(whole);
            packer.packLong(changes.revision());
            packer.packLong(ageMillis);
            packer.packLong(returnedMillis);
            packer.packBoolean(mark.isPresent());
            if (mark.isPresent()) {
                packer.packLong(mark.get().time());
                packer.packLong(mark.get().ageMillis());
            }
            packer.packArrayHeader(changes.changes().size());
            for (StoreChange change : changes.changes()) {
                pack(packer, change);
            }
            return Unpooled.wrappedBuffer(packer.toByteArray());
        }
    }

    private static void pack(MessageBufferPacker packer, StoreChange change) throws IOException {
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
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(ByteBufUtil.getBytes(bytes))) {
            boolean whole = unpacker.unpackBoolean();
            long revision = unpacker.unpackLong();
            long age = unpacker.unpackLong();
            long returned = unpacker.unpackLong();
            Optional<Mark> mark = unpacker.unpackBoolean()
                    ? Optional.of(new Mark(unpacker.unpackLong(), unpacker.unpackLong()))
                    : Optional.empty();
            List<StoreChange> changes = new ArrayList<>();
            for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
                changes.add(change(unpacker));
            }
            return new RelayFrame(whole, new StoreClient.Changes(changes, revision), age, returned, mark);
        }
    }

    private static StoreChange change(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        long revision = unpacker.unpackLong();
        if (unpacker.tryUnpackNil()) {
            return new StoreChange.Removed(key, revision);
        }
        byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return new StoreChange.Written(new StoredItem(key, value, revision));
    }
}
