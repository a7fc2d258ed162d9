package org.dragonflymux.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.gateway.PeerReport;
import org.dragonflymux.core.gateway.WaitingClass;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.shard.KeyRange;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes reports between hosts.
 *
 * <p>The waiting requests of a priority class are an entry among those of the services, with a name made of the class and the
 * service, such as {@code 2..orders}. Earlier releases, which reject further bytes and other format versions, read it as a
 * service that they have no requests for, and their aggregates pass it on.
 */
final class ReportCodec {

    private static final Logger LOG = LogManager.getLogger(ReportCodec.class);
    private static final int FORMAT_VERSION = 3;
    private static final int MAX_ENTRIES = 4_096;
    /** Bounds the classes in a report to 4.2 kB with the longest names. Requests of classes left out count as class 0. */
    private static final int MAX_CLASSES = 60;

    private static final String CLASS_SEPARATOR = "..";
    private static final Pattern CLASS_ENTRY =
            Pattern.compile("([1-" + (WaitingClass.COUNT - 1) + "])\\.\\.([a-z0-9].*)");
    /** Maximum length of a service's name, in characters. */
    private static final int MAX_NAME_LENGTH = 63;

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
            packWaiting(packer, report);
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

    private static void packWaiting(MessageBufferPacker packer, PeerReport report) throws IOException {
        List<Map.Entry<WaitingClass, Integer>> classes = report.waitingByClass().entrySet().stream()
                .filter(entry -> entryName(entry.getKey()).length() <= MAX_NAME_LENGTH)
                .sorted(Map.Entry.<WaitingClass, Integer>comparingByValue()
                        .reversed()
                        .thenComparing(entry -> entryName(entry.getKey())))
                .limit(MAX_CLASSES)
                .toList();
        packer.packMapHeader(report.waiting().size() + classes.size());
        for (Map.Entry<ServiceName, Integer> count : report.waiting().entrySet()) {
            packer.packString(count.getKey().value());
            packer.packInt(count.getValue());
        }
        for (Map.Entry<WaitingClass, Integer> count : classes) {
            packer.packString(entryName(count.getKey()));
            packer.packInt(count.getValue());
        }
    }

    private static String entryName(WaitingClass waitingClass) {
        return waitingClass.priorityClass() + CLASS_SEPARATOR + waitingClass.service();
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
        Map<WaitingClass, Integer> waitingByClass = new HashMap<>();
        for (int i = checkSize(unpacker.unpackMapHeader()); i > 0; i--) {
            ServiceName name = ServiceName.of(unpacker.unpackString());
            int count = unpackNumber(unpacker, MAX_COUNT);
            Matcher classEntry = CLASS_ENTRY.matcher(name.value());
            if (classEntry.matches()) {
                ServiceName service = ServiceName.of(classEntry.group(2));
                waitingByClass.put(new WaitingClass(service, Integer.parseInt(classEntry.group(1))), count);
            } else {
                waiting.put(name, count);
            }
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
        return new PeerReport(from, incarnation, sequence, included, targets, waiting, waitingByClass, keys);
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
