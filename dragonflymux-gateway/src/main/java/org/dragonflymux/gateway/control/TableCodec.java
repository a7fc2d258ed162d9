package org.dragonflymux.gateway.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.core.shard.Assignment;
import org.dragonflymux.core.shard.KeyRange;
import org.dragonflymux.core.shard.Move;
import org.dragonflymux.core.shard.ShardTable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes shard tables as MessagePack: the highest fencing token, a list of the target incarnations in the table, and a
 * row for each assignment, which refers to incarnations by their index in that list.
 */
public final class TableCodec {

    private static final int FORMAT_VERSION = 1;

    private TableCodec() {}

    private record TargetIncarnation(TargetId target, long incarnation) {}

    public static byte[] encode(ShardTable table) {
        List<TargetIncarnation> incarnations = incarnations(table);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT_VERSION);
            packer.packLong(table.lastFence());
            packer.packArrayHeader(incarnations.size());
            for (TargetIncarnation targetIncarnation : incarnations) {
                packer.packString(targetIncarnation.target.value());
                packer.packLong(targetIncarnation.incarnation);
            }
            packer.packArrayHeader(table.assignments().size());
            for (Assignment assignment : table.assignments()) {
                packAssignment(packer, assignment, incarnations);
            }
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new UnwritableRecordException(impossible);
        }
    }

    private static List<TargetIncarnation> incarnations(ShardTable table) {
        List<TargetIncarnation> incarnations = new ArrayList<>();
        for (Assignment assignment : table.assignments()) {
            incarnations.add(ownerOf(assignment));
            assignment.move().map(TableCodec::nextOwnerOf).ifPresent(incarnations::add);
        }
        return incarnations.stream().distinct().toList();
    }

    private static TargetIncarnation ownerOf(Assignment assignment) {
        return new TargetIncarnation(assignment.owner(), assignment.incarnation());
    }

    private static TargetIncarnation nextOwnerOf(Move move) {
        return new TargetIncarnation(move.to(), move.incarnation());
    }

    private static void packAssignment(
            MessageBufferPacker packer, Assignment assignment, List<TargetIncarnation> incarnations)
            throws IOException {
        packer.packInt(assignment.range().first());
        packer.packInt(assignment.range().last());
        packer.packInt(incarnations.indexOf(ownerOf(assignment)));
        packer.packLong(assignment.fence());
        if (assignment.move().isEmpty()) {
            packer.packNil();
            return;
        }
        Move move = assignment.move().get();
        packer.packInt(incarnations.indexOf(nextOwnerOf(move)));
        packer.packLong(move.fence());
    }

    /** Decodes a table; empty if the bytes are not a valid table. */
    public static Optional<ShardTable> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT_VERSION) {
                return Optional.empty();
            }
            ShardTable table = unpackTable(unpacker);
            return !unpacker.hasNext() && isConsistent(table) ? Optional.of(table) : Optional.empty();
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException unreadable) {
            return Optional.empty();
        }
    }

    /** Returns whether each key has at most one owner, and no fencing token is above the last one issued. */
    private static boolean isConsistent(ShardTable table) {
        int next = KeyRange.MIN_KEY;
        for (Assignment assignment : table.assignments()) {
            long highestFence = Math.max(
                    assignment.fence(), assignment.move().map(Move::fence).orElse(0L));
            if (assignment.range().first() < next || assignment.fence() < 0 || highestFence > table.lastFence()) {
                return false;
            }
            next = assignment.range().last() + 1;
        }
        return true;
    }

    private static ShardTable unpackTable(MessageUnpacker unpacker) throws IOException {
        long lastFence = unpacker.unpackLong();
        List<TargetIncarnation> incarnations = new ArrayList<>();
        for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
            incarnations.add(new TargetIncarnation(TargetId.of(unpacker.unpackString()), unpacker.unpackLong()));
        }
        List<Assignment> rows = new ArrayList<>();
        for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
            rows.add(unpackAssignment(unpacker, incarnations));
        }
        return new ShardTable(lastFence, rows);
    }

    private static Assignment unpackAssignment(MessageUnpacker unpacker, List<TargetIncarnation> incarnations)
            throws IOException {
        KeyRange range = new KeyRange(unpacker.unpackInt(), unpacker.unpackInt());
        TargetIncarnation owner = incarnations.get(unpacker.unpackInt());
        long fence = unpacker.unpackLong();
        Optional<Move> move = Optional.empty();
        if (!unpacker.tryUnpackNil()) {
            TargetIncarnation nextOwner = incarnations.get(unpacker.unpackInt());
            move = Optional.of(new Move(nextOwner.target, nextOwner.incarnation, unpacker.unpackLong()));
        }
        return new Assignment(range, owner.target, owner.incarnation, fence, move);
    }
}
