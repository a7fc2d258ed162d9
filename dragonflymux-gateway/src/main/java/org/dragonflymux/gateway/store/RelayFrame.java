package org.dragonflymux.gateway.store;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * News of the store from one host to another.
 *
 * @param whole whether the changes are all values there are, in place of what was known
 * @param changes the changes, and the revision up to which they are complete
 * @param ageMillis how long ago they were complete
 * @param returnedMillis how long ago the store came back after an outage, as the sender saw it
 */
record RelayFrame(boolean whole, StoreClient.Changes changes, long ageMillis, long returnedMillis) {

    ByteBuf encode() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packBoolean(whole);
            packer.packLong(changes.revision());
            packer.packLong(ageMillis);
            packer.packLong(returnedMillis);
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
            List<StoreChange> changes = new ArrayList<>();
            for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
                changes.add(change(unpacker));
            }
            return new RelayFrame(whole, new StoreClient.Changes(changes, revision), age, returned);
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
