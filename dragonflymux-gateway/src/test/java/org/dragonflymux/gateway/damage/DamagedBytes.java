package org.dragonflymux.gateway.damage;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Draws damaged copies of encoded messages. */
public final class DamagedBytes {

    private static final int MAX_DAMAGES = 4;
    private static final int MAX_RANDOM_BYTES = 300;
    private static final int NESTING_DEPTH = 20_000;
    /** MessagePack headers of very large lengths, numbers out of range, and values of other types. */
    private static final List<byte[]> MESSAGE_PACK_PARTS = List.of(
            bytes(0xDB, 0x7F, 0xFF, 0xFF, 0xFF),
            bytes(0xDB, 0xFF, 0xFF, 0xFF, 0xFF),
            bytes(0xDA, 0xFF, 0xFF),
            bytes(0xC6, 0x7F, 0xFF, 0xFF, 0xFF),
            bytes(0xC6, 0x00, 0x3F, 0xFF, 0xFF),
            bytes(0xDD, 0x7F, 0xFF, 0xFF, 0xFF),
            bytes(0xDC, 0x0F, 0xFF),
            bytes(0xDF, 0x7F, 0xFF, 0xFF, 0xFF),
            bytes(0xDE, 0x0F, 0xFF),
            bytes(0xCF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF),
            bytes(0xD3, 0x80, 0, 0, 0, 0, 0, 0, 0),
            bytes(0xD3, 0x7F, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF),
            bytes(0xD2, 0x80, 0, 0, 0),
            bytes(0xD2, 0x7F, 0xFF, 0xFF, 0xFF),
            bytes(0xFF),
            bytes(0xC0),
            bytes(0xC2),
            bytes(0xC1),
            bytes(0xCB, 0x7F, 0xF8, 0, 0, 0, 0, 0, 0),
            bytes(0xA2, 0xC3, 0x28),
            bytes(0x80),
            bytes(0x90));
    /** Values in place of a JSON value, or of a part of one. */
    private static final List<byte[]> JSON_PARTS = List.of(
            text("null"),
            text("-1"),
            text("1e400"),
            text("99999999999999999999999999"),
            text("2.5"),
            text("NaN"),
            text("\"\""),
            text("\"\\u0000\""),
            text("{}"),
            text("[]"),
            text("true"),
            text("\""),
            text("}"),
            text("]"),
            text(","),
            bytes(0xC3, 0x28));

    private final List<byte[]> parts;
    private final byte[] nesting;

    private DamagedBytes(List<byte[]> parts, byte[] nesting) {
        this.parts = parts;
        this.nesting = nesting;
    }

    /** Returns a source of damaged MessagePack. */
    public static DamagedBytes ofMessagePack() {
        return new DamagedBytes(MESSAGE_PACK_PARTS, bytes(0x91));
    }

    /** Returns a source of damaged JSON. */
    public static DamagedBytes ofJson() {
        return new DamagedBytes(JSON_PARTS, text("{\"a\":["));
    }

    private static byte[] bytes(int... values) {
        byte[] result = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            result[i] = (byte) values[i];
        }
        return result;
    }

    private static byte[] text(String value) {
        return value.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Returns one of the originals with up to four damages, or random bytes. It may equal an original. */
    public byte[] draw(Random random, List<byte[]> originals) {
        if (random.nextInt(10) == 0) {
            byte[] result = new byte[random.nextInt(MAX_RANDOM_BYTES)];
            random.nextBytes(result);
            return result;
        }
        byte[] result = originals.get(random.nextInt(originals.size()));
        for (int i = random.nextInt(MAX_DAMAGES); i >= 0; i--) {
            result = damage(random, result, originals);
        }
        return result;
    }

    private byte[] damage(Random random, byte[] original, List<byte[]> originals) {
        int from = random.nextInt(original.length + 1);
        int to = from + random.nextInt(original.length - from + 1);
        byte[] part = parts.get(random.nextInt(parts.size()));
        return switch (random.nextInt(9)) {
            case 0 -> Arrays.copyOf(original, from);
            case 1 -> flipBit(random, original);
            case 2 -> splice(original, from, to, new byte[0]);
            case 3 -> splice(original, to, to, Arrays.copyOfRange(original, from, to));
            case 4 -> splice(original, from, from, part);
            case 5 -> splice(original, from, Math.min(original.length, from + part.length), part);
            case 6 -> splice(original, from, Math.min(original.length, from + 1), part);
            case 7 -> splice(original, from, to, originals.get(random.nextInt(originals.size())));
            default -> random.nextInt(20) == 0 ? splice(original, from, from, nested()) : exchange(original, from, to);
        };
    }

    private static byte[] flipBit(Random random, byte[] original) {
        byte[] result = original.clone();
        if (result.length > 0) {
            result[random.nextInt(result.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
        }
        return result;
    }

    private static byte[] splice(byte[] original, int from, int to, byte[] replacement) {
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        result.write(original, 0, from);
        result.writeBytes(replacement);
        result.write(original, to, original.length - to);
        return result.toByteArray();
    }

    private static byte[] exchange(byte[] original, int from, int to) {
        int middle = (from + to) / 2;
        byte[] second = Arrays.copyOfRange(original, middle, to);
        return splice(splice(original, middle, to, new byte[0]), from, from, second);
    }

    private byte[] nested() {
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        for (int i = 0; i < NESTING_DEPTH; i++) {
            result.writeBytes(nesting);
        }
        return result.toByteArray();
    }
}
