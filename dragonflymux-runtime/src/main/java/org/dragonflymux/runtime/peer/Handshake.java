package org.dragonflymux.runtime.peer;

import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * Authenticates both ends of a link to each other by a shared secret, which is never sent.
 *
 * <p>The connector sends the protocol version, a nonce and its listening address. The acceptor responds with its own
 * nonce and an HMAC over both nonces. The connector completes the handshake with an HMAC over both nonces and its
 * address.
 */
final class Handshake {

    static final int NONCE_BYTES = 16;
    private static final int PROOF_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] secret;

    Handshake(String secret) {
        this.secret = secret.getBytes(StandardCharsets.UTF_8);
    }

    static byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    byte[] acceptorProof(byte[] connectorNonce, byte[] acceptorNonce) {
        return proof("acceptor", connectorNonce, acceptorNonce, "");
    }

    byte[] connectorProof(byte[] connectorNonce, byte[] acceptorNonce, String address) {
        return proof("connector", connectorNonce, acceptorNonce, address);
    }

    private byte[] proof(String role, byte[] connectorNonce, byte[] acceptorNonce, String address) {
        return Hashing.hmacSha256(secret)
                .newHasher()
                .putString(role, StandardCharsets.UTF_8)
                .putBytes(connectorNonce)
                .putBytes(acceptorNonce)
                .putString(address, StandardCharsets.UTF_8)
                .hash()
                .asBytes();
    }

    static ByteBuf hello(byte[] nonce, String address) {
        return Unpooled.buffer()
                .writeByte(PeerCodec.VERSION)
                .writeBytes(nonce)
                .writeBytes(address.getBytes(StandardCharsets.UTF_8));
    }

    static ByteBuf challenge(byte[] nonce, byte[] proof) {
        return Unpooled.buffer().writeBytes(nonce).writeBytes(proof);
    }

    /** Returns whether a frame has the size of a proof, or of a nonce followed by a proof. */
    static boolean hasSize(ByteBuf frame, boolean withNonce) {
        return frame.readableBytes() == PROOF_BYTES + (withNonce ? NONCE_BYTES : 0);
    }

    static byte[] readBytes(ByteBuf frame, int length) {
        byte[] bytes = new byte[length];
        frame.readBytes(bytes);
        return bytes;
    }

    static boolean equalInConstantTime(byte[] left, byte[] right) {
        return MessageDigest.isEqual(left, right);
    }
}
