package org.dragonflymux.core.credential;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dragonflymux.core.document.CredentialGrant;
import org.dragonflymux.core.document.CustomerDocument;

/** The valid credentials of all customers, indexed by hash. */
public final class CredentialRegistry {

    private final Map<String, CustomerDocument> customersByHash;

    private CredentialRegistry(Map<String, CustomerDocument> customersByHash) {
        this.customersByHash = customersByHash;
    }

    /** Returns a registry of the given customers' credentials. */
    public static CredentialRegistry of(Collection<CustomerDocument> customers) {
        Map<String, CustomerDocument> byHash = new HashMap<>();
        for (CustomerDocument customer : customers) {
            for (CredentialGrant grant : customer.credentials()) {
                byHash.put(grant.sha256(), customer);
            }
        }
        return new CredentialRegistry(byHash);
    }

    /** Returns the SHA-256 hash under which a credential is stored, as 64 hexadecimal digits. */
    public static String hash(String credential) {
        return Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).toString();
    }

    /**
     * Returns the customer that a credential belongs to, if the credential is valid.
     *
     * <p>The duration of the look-up depends only on the hash, and the final comparison takes constant time, to resist
     * timing attacks.
     */
    public Optional<CustomerDocument> customer(String credential) {
        String hash = hash(credential);
        return Optional.ofNullable(customersByHash.get(hash))
                .filter(customer -> customer.credentials().stream()
                        .anyMatch(grant -> MessageDigest.isEqual(
                                grant.sha256().getBytes(StandardCharsets.US_ASCII),
                                hash.getBytes(StandardCharsets.US_ASCII))));
    }
}
