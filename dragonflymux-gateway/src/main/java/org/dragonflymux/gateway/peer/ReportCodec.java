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
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads reports between hosts. */
final class ReportCodec {

    private static final Logger LOG = LogManager.getLogger(ReportCodec.class);
    private static final int FORMAT = 3;
    private static final int MAX_ENTRIES = 4_096;

    private ReportCodec() {}

    static byte[] encode(PeerReport report) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packString(report.from().value());
            packer.packLong(report.incarnation());
            packer.packLong(report.sequence());
            packer.packMapHeader(report.included().size());
            for (Map.Entry<HostId, Long> each : report.included().entrySet()) {
                packer.packString(each.getKey().value());
                packer.packLong(each.getValue());
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
        } catch (IOException impossible) {
            throw new UnwritableMessageException(impossible);
        }
    }

    static Optional<PeerReport> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT) {
                return Optional.empty();
            }
            return Optional.of(report(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException unreadable) {
            LOG.warn("event=peer_report_unreadable bytes={} cause=\"{}\"", bytes.length, unreadable.getMessage());
            return Optional.empty();
        }
    }

    private static PeerReport report(MessageUnpacker unpacker) throws IOException {
        HostId from = HostId.of(unpacker.unpackString());
        long incarnation = unpacker.unpackLong();
        long sequence = unpacker.unpackLong();
        Map<HostId, Long> included = new HashMap<>();
        for (int i = size(unpacker.unpackMapHeader()); i > 0; i--) {
            included.put(HostId.of(unpacker.unpackString()), unpacker.unpackLong());
        }
        List<PeerReport.TargetUse> targets = new ArrayList<>();
        for (int i = size(unpacker.unpackArrayHeader()); i > 0; i--) {
            targets.add(new PeerReport.TargetUse(
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt()));
        }
        Map<ServiceName, Integer> waiting = new HashMap<>();
        for (int i = size(unpacker.unpackMapHeader()); i > 0; i--) {
            waiting.put(ServiceName.of(unpacker.unpackString()), unpacker.unpackInt());
        }
        Map<ServiceName, int[]> keys = new HashMap<>();
        for (int i = size(unpacker.unpackMapHeader()); i > 0; i--) {
            ServiceName service = ServiceName.of(unpacker.unpackString());
            int[] list = new int[size(unpacker.unpackArrayHeader())];
            for (int k = 0; k < list.length; k++) {
                list[k] = unpacker.unpackInt();
            }
            keys.put(service, list);
        }
        return new PeerReport(from, incarnation, sequence, included, targets, waiting, keys);
    }

    private static int size(int announced) throws IOException {
        if (announced > MAX_ENTRIES) {
            throw new IOException("too many entries: " + announced);
        }
        return announced;
    }
}
