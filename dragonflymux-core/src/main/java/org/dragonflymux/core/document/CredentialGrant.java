package org.dragonflymux.core.document;

/**
 * A valid credential, represented by its hash. The credential itself is not stored.
 *
 * @param id a public identifier by which operators refer to the credential
 * @param sha256 the SHA-256 hash of the credential, as 64 hexadecimal digits
 */
public record CredentialGrant(String id, String sha256) {}
