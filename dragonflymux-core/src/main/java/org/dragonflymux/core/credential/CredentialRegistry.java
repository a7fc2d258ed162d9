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

/** The credentials in force, found by their hashes. */
public final class CredentialRegistry {

    private final Map<String, CustomerDocument> customersByHash;

    private CredentialRegistry(Map<String, CustomerDocument> customersByHash) {
        this.customersByHash = customersByHash;
    }

    /** Returns the registry of the given customers. */
    public static CredentialRegistry of(Collection<CustomerDocument> customers) {
        Map<String, CustomerDocument> byHash = new HashMap<>();
        for (CustomerDocument customer : customers) {
            for (CredentialGrant grant : customer.credentials()) {
                byHash.put(grant.sha256(), customer);
            }
        }
        return new CredentialRegistry(byHash);
    }

    /** Returns the hash under which a credential is kept, 64 hexadecimal digits. */
    public static String hash(String credential) {
        return Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).toString();
    }

    /**
     * Returns the customer that a credential belongs to, if it is in force.
     *
     * <p>The time of the look-up depends on the hash alone, and the final comparison takes constant time.
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
