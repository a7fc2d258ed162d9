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
 * Tables of shard keys as MessagePack: the highest fencing token, the lives of targets that occur, and a row for each
 * assignment that names lives by their place in that list.
 */
public final class TableCodec {

    private static final int FORMAT = 1;

    private TableCodec() {}

    private record Life(TargetId target, long incarnation) {}

    /** Writes a table. */
    public static byte[] encode(ShardTable table) {
        List<Life> lives = lives(table);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packLong(table.lastFence());
            packer.packArrayHeader(lives.size());
            for (Life life : lives) {
                packer.packString(life.target.value());
                packer.packLong(life.incarnation);
            }
            packer.packArrayHeader(table.assignments().size());
            for (Assignment assignment : table.assignments()) {
                pack(packer, assignment, lives);
            }
            return packer.toByteArray();
        } catch (IOException impossible) {
            throw new UnwritableRecordException(impossible);
        }
    }

    private static List<Life> lives(ShardTable table) {
        List<Life> lives = new ArrayList<>();
        for (Assignment assignment : table.assignments()) {
            lives.add(owner(assignment));
            assignment.move().map(TableCodec::next).ifPresent(lives::add);
        }
        return lives.stream().distinct().toList();
    }

    private static Life owner(Assignment assignment) {
        return new Life(assignment.owner(), assignment.incarnation());
    }

    private static Life next(Move move) {
        return new Life(move.to(), move.incarnation());
    }

    private static void pack(MessageBufferPacker packer, Assignment assignment, List<Life> lives) throws IOException {
        packer.packInt(assignment.range().first());
        packer.packInt(assignment.range().last());
        packer.packInt(lives.indexOf(owner(assignment)));
        packer.packLong(assignment.fence());
        if (assignment.move().isEmpty()) {
            packer.packNil();
            return;
        }
        Move move = assignment.move().get();
        packer.packInt(lives.indexOf(next(move)));
        packer.packLong(move.fence());
    }

    /** Reads a table; empty where the bytes aren't one. */
    public static Optional<ShardTable> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpacker.unpackInt() == FORMAT ? Optional.of(table(unpacker)) : Optional.empty();
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException unreadable) {
            return Optional.empty();
        }
    }

    private static ShardTable table(MessageUnpacker unpacker) throws IOException {
        long lastFence = unpacker.unpackLong();
        List<Life> lives = new ArrayList<>();
        for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
            lives.add(new Life(TargetId.of(unpacker.unpackString()), unpacker.unpackLong()));
        }
        List<Assignment> rows = new ArrayList<>();
        for (int i = unpacker.unpackArrayHeader(); i > 0; i--) {
            rows.add(assignment(unpacker, lives));
        }
        return new ShardTable(lastFence, rows);
    }

    private static Assignment assignment(MessageUnpacker unpacker, List<Life> lives) throws IOException {
        KeyRange range = new KeyRange(unpacker.unpackInt(), unpacker.unpackInt());
        Life owner = lives.get(unpacker.unpackInt());
        long fence = unpacker.unpackLong();
        Optional<Move> move = Optional.empty();
        if (!unpacker.tryUnpackNil()) {
            Life next = lives.get(unpacker.unpackInt());
            move = Optional.of(new Move(next.target, next.incarnation, unpacker.unpackLong()));
        }
        return new Assignment(range, owner.target, owner.incarnation, fence, move);
    }
}
