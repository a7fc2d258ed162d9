package org.dragonflymux.core.document;

/**
 * A credential in force; the credential itself is kept nowhere.
 *
 * @param id a public handle by which operators name the credential
 * @param sha256 the SHA-256 hash of the credential, 64 hexadecimal digits
 */
public record CredentialGrant(String id, String sha256) {}
