package org.dragonflymux.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.shard.KeyRange;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes reports between hosts. */
final class ReportCodec {

    private static final Logger LOG = LogManager.getLogger(ReportCodec.class);
    private static final int FORMAT_VERSION = 3;
    private static final int MAX_ENTRIES = 4_096;
    /** Limit on each count, so that the sum over all hosts stays in range. */
    private static final int MAX_COUNT = 1 << 20;

    private ReportCodec() {}

    static byte[] encode(PeerReport report) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT_VERSION);
            packer.packString(report.from().value());
            packer.packLong(report.incarnation());
            packer.packLong(report.sequence());
            packer.packMapHeader(report.included().size());
            for (Map.Entry<HostId, Long> entry : report.included().entrySet()) {
                packer.packString(entry.getKey().value());
                packer.packLong(entry.getValue());
            }
            packer.packArrayHeader(report.targets().size());
            for (PeerReport.TargetUse use : report.targets()) {
                packer.packInt(use.target());
                packer.packInt(use.inFlight());
                packer.packInt(use.waiting());
                packer.packInt(use.completions());
                packer.packInt(use.meanMillis());
                packer.packInt(use.slowdownPercent());
                packer.packInt(use.slowdownAgeMillis());
            }
            packer.packMapHeader(report.waiting().size());
            for (Map.Entry<ServiceName, Integer> count : report.waiting().entrySet()) {
                packer.packString(count.getKey().value());
                packer.packInt(count.getValue());
            }
            packer.packMapHeader(report.keys().size());
            for (Map.Entry<ServiceName, int[]> keys : report.keys().entrySet()) {
                packer.packString(keys.getKey().value());
                packer.packArrayHeader(keys.getValue().length);
                for (int key : keys.getValue()) {
                    packer.packInt(key);
                }
            }
            return packer.toByteArray();
        } catch (IOException unexpected) {
            throw new UnwritableMessageException(unexpected);
        }
    }

    static Optional<PeerReport> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT_VERSION) {
                return Optional.empty();
            }
            PeerReport report = unpackReport(unpacker);
            if (unpacker.hasNext()) {
                throw new IOException("bytes after the report");
            }
            return Optional.of(report);
        } catch (IOException | MessagePackException | IllegalArgumentException unreadable) {
            LOG.warn("event=peer_report_unreadable bytes={} cause=\"{}\"", bytes.length, unreadable.getMessage());
            return Optional.empty();
        }
    }

    private static PeerReport unpackReport(MessageUnpacker unpacker) throws IOException {
        HostId from = HostId.of(unpacker.unpackString());
        long incarnation = unpacker.unpackLong();
        long sequence = unpacker.unpackLong();
        Map<HostId, Long> included = new HashMap<>();
        for (int i = checkSize(unpacker.unpackMapHeader()); i > 0; i--) {
            included.put(HostId.of(unpacker.unpackString()), unpacker.unpackLong());
        }
        List<PeerReport.TargetUse> targets = new ArrayList<>();
        for (int i = checkSize(unpacker.unpackArrayHeader()); i > 0; i--) {
            targets.add(new PeerReport.TargetUse(
                    unpacker.unpackInt(),
                    unpackNumber(unpacker, MAX_COUNT),
                    unpackNumber(unpacker, MAX_COUNT),
                    unpackNumber(unpacker, MAX_COUNT),
                    unpackNumber(unpacker, Integer.MAX_VALUE),
                    unpackNumber(unpacker, Integer.MAX_VALUE),
                    unpacker.unpackInt()));
        }
        Map<ServiceName, Integer> waiting = new HashMap<>();
        for (int i = checkSize(unpacker.unpackMapHeader()); i > 0; i--) {
            waiting.put(ServiceName.of(unpacker.unpackString()), unpackNumber(unpacker, MAX_COUNT));
        }
        Map<ServiceName, int[]> keys = new HashMap<>();
        for (int i = checkSize(unpacker.unpackMapHeader()); i > 0; i--) {
            ServiceName service = ServiceName.of(unpacker.unpackString());
            int[] list = new int[checkSize(unpacker.unpackArrayHeader())];
            for (int k = 0; k < list.length; k++) {
                list[k] = unpackNumber(unpacker, KeyRange.MAX_KEY);
            }
            keys.put(service, list);
        }
        return new PeerReport(from, incarnation, sequence, included, targets, waiting, keys);
    }

    private static int unpackNumber(MessageUnpacker unpacker, int max) throws IOException {
        int number = unpacker.unpackInt();
        if (number < 0 || number > max) {
            throw new IOException("number out of range: " + number);
        }
        return number;
    }

    private static int checkSize(int size) throws IOException {
        if (size > MAX_ENTRIES) {
            throw new IOException("too many entries: " + size);
        }
        return size;
    }
}
