package org.dragonflymux.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.quota.RateMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes rate messages. */
final class RateCodec {

    private static final Logger LOG = LogManager.getLogger(RateCodec.class);
    private static final int ASK = 1;
    private static final int LEND = 2;
    private static final int MAX_ENTRIES = 4_096;

    private RateCodec() {}

    static byte[] encode(RateMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case RateMessage.Ask ask -> {
                    packHeader(packer, ASK, ask.from(), message);
                    packer.packLong(ask.incarnation());
                    packer.packArrayHeader(ask.demands().size());
                    for (RateMessage.Demand demand : ask.demands()) {
                        pack(packer, demand);
                    }
                }
                case RateMessage.Lend lend -> {
                    packHeader(packer, LEND, lend.from(), message);
                    packer.packArrayHeader(lend.loans().size());
                    for (RateMessage.Loan loan : lend.loans()) {
                        pack(packer, loan);
                    }
                }
            }
            return packer.toByteArray();
        } catch (IOException unexpected) {
            throw new UnwritableMessageException(unexpected);
        }
    }

    private static void packHeader(MessageBufferPacker packer, int kind, HostId from, RateMessage message)
            throws IOException {
        packer.packInt(kind);
        packer.packString(from.value());
        packer.packString(message.to().value());
        packer.packString(message.via().map(HostId::value).orElse(""));
    }

    private static void pack(MessageBufferPacker packer, RateMessage.Demand demand) throws IOException {
        packer.packString(demand.customer().value());
        packer.packLong(demand.epoch());
        packer.packLong(demand.sequence());
        packer.packInt(demand.needed());
        packer.packInt(demand.wanted());
        packer.packLong(demand.used());
        packer.packLong(demand.returned());
    }

    private static void pack(MessageBufferPacker packer, RateMessage.Loan loan) throws IOException {
        packer.packString(loan.customer().value());
        packer.packLong(loan.epoch());
        packer.packLong(loan.sequence());
        packer.packInt(loan.tokens());
        packer.packLong(loan.millisUntilNextToken());
    }

    static Optional<RateMessage> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            RateMessage message = unpackMessage(unpacker);
            if (unpacker.hasNext()) {
                throw new IOException("bytes after the message");
            }
            return Optional.of(message);
        } catch (IOException | MessagePackException | IllegalArgumentException unreadable) {
            LOG.warn("event=rate_message_unreadable bytes={} cause=\"{}\"", bytes.length, unreadable.getMessage());
            return Optional.empty();
        }
    }

    private static RateMessage unpackMessage(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        HostId from = HostId.of(unpacker.unpackString());
        HostId to = HostId.of(unpacker.unpackString());
        Optional<HostId> via = Optional.of(unpacker.unpackString())
                .filter(name -> !name.isEmpty())
                .map(HostId::of);
        return switch (kind) {
            case ASK -> new RateMessage.Ask(from, unpacker.unpackLong(), to, via, unpackDemands(unpacker));
            case LEND -> new RateMessage.Lend(from, to, via, unpackLoans(unpacker));
            default -> throw new IOException("unknown message kind " + kind);
        };
    }

    private static List<RateMessage.Demand> unpackDemands(MessageUnpacker unpacker) throws IOException {
        List<RateMessage.Demand> result = new ArrayList<>();
        for (int i = unpackSize(unpacker); i > 0; i--) {
            result.add(new RateMessage.Demand(
                    CustomerName.of(unpacker.unpackString()),
                    notNegative(unpacker.unpackLong()),
                    notNegative(unpacker.unpackLong()),
                    (int) notNegative(unpacker.unpackInt()),
                    (int) notNegative(unpacker.unpackInt()),
                    notNegative(unpacker.unpackLong()),
                    notNegative(unpacker.unpackLong())));
        }
        return result;
    }

    private static List<RateMessage.Loan> unpackLoans(MessageUnpacker unpacker) throws IOException {
        List<RateMessage.Loan> result = new ArrayList<>();
        for (int i = unpackSize(unpacker); i > 0; i--) {
            result.add(new RateMessage.Loan(
                    CustomerName.of(unpacker.unpackString()),
                    notNegative(unpacker.unpackLong()),
                    notNegative(unpacker.unpackLong()),
                    (int) notNegative(unpacker.unpackInt()),
                    notNegative(unpacker.unpackLong())));
        }
        return result;
    }

    private static long notNegative(long number) throws IOException {
        if (number < 0) {
            throw new IOException("negative number: " + number);
        }
        return number;
    }

    private static int unpackSize(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > MAX_ENTRIES) {
            throw new IOException("too many entries: " + size);
        }
        return size;
    }
}
