package org.dragonflymux.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.dragonflymux.gateway.damage.Allocation;
import org.dragonflymux.gateway.damage.DamagedBytes;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/** Guards against relayed updates that aren't whole, or that make their reader allocate far more than their size. */
class DamagedFramesTest {

    private static final int CASES = Integer.getInteger("damage.cases", 5_000);
    private static final long MAX_ALLOCATED_BYTES = 2 << 20;

    private static byte[] frame(boolean snapshot) throws IOException {
        List<StoreChange> changes = List.of(
                new StoreChange.Written(new StoredItem("hosts/a", new byte[] {1, 2, 3}, 7)),
                new StoreChange.Removed("hosts/b", 8),
                new StoreChange.Written(new StoredItem("hosts/c", new byte[40], 9)));
        RelayFrame frame = new RelayFrame(
                snapshot,
                new StoreClient.Changes(changes, 9),
                30,
                1_000,
                Optional.of(new RelayFrame.EchoTimestamp(5_000, 120)));
        return ByteBufUtil.getBytes(frame.encode());
    }

    private static Optional<RelayFrame> decode(byte[] bytes) {
        try {
            return Optional.of(RelayFrame.decode(Unpooled.wrappedBuffer(bytes)));
        } catch (IOException | MessagePackException rejected) {
            return Optional.empty();
        }
    }

    @Test
    void a_frame_that_is_cut_or_followed_by_further_bytes_is_rejected() throws IOException {
        byte[] whole = frame(false);
        for (int length = 0; length < whole.length; length++) {
            assertThat(decode(Arrays.copyOf(whole, length)))
                    .as("cut after %d", length)
                    .isEmpty();
        }
        for (int extra = 0; extra < 256; extra++) {
            byte[] longer = Arrays.copyOf(whole, whole.length + 1);
            longer[whole.length] = (byte) extra;
            assertThat(decode(longer)).as("followed by %d", extra).isEmpty();
        }
    }

    @Test
    void a_damaged_frame_is_rejected_or_whole_and_allocates_little() throws IOException {
        List<byte[]> originals = List.of(frame(false), frame(true));
        for (int seed = 0; seed < CASES; seed++) {
            byte[] bytes = DamagedBytes.ofMessagePack().draw(new Random(seed), originals);
            long allocated = Allocation.of(() -> decode(bytes));

            assertThat(allocated).as("seed %d", seed).isLessThan(MAX_ALLOCATED_BYTES);
            Optional<RelayFrame> read = decode(bytes);
            if (read.isPresent()) {
                byte[] again = ByteBufUtil.getBytes(read.get().encode());
                assertThat(ByteBufUtil.getBytes(decode(again).orElseThrow().encode()))
                        .as("seed %d", seed)
                        .isEqualTo(again);
            }
        }
    }

    /** Each change takes three bytes in the frame, but many times that in memory. */
    @Test
    void a_frame_with_more_changes_than_a_store_has_values_is_rejected() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packBoolean(true).packLong(9).packLong(0).packLong(0).packBoolean(false);
            packer.packArrayHeader(1 << 20);
            for (int i = 0; i < 1 << 20; i++) {
                packer.packString("").packLong(1).packNil();
            }
            byte[] bytes = packer.toByteArray();
            assertThatThrownBy(() -> RelayFrame.decode(Unpooled.wrappedBuffer(bytes)))
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void a_whole_frame_with_many_changes_is_decoded() throws IOException {
        List<StoreChange> changes = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            changes.add(new StoreChange.Removed("k" + i, i));
        }
        RelayFrame frame = new RelayFrame(false, new StoreClient.Changes(changes, 100_000), 0, 0, Optional.empty());

        assertThat(RelayFrame.decode(frame.encode())).isEqualTo(frame);
    }
}
