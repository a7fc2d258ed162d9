package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * The one document that drives a service, owned by its team.
 *
 * @param name the service's name, the first segment of its callers' paths
 * @param partitions how many ranges the hashed key space is divided into
 * @param fencing what the targets check of a grant
 * @param home the failure domain that keeps the keys while it is cut off, or null to move them
 * @param deadlineMillis the deadline of a request that names none, in milliseconds
 * @param credentialTrustMillis how long a host trusts credentials without news of withdrawals, in milliseconds
 * @param continuityMillis how long hosts may serve on pledges while the store is unreachable, in milliseconds
 * @param maxAnswerBytes the largest answer that is passed on, in bytes
 * @param repeatableMethods the HTTP methods whose requests may be repeated
 * @param targets the servers that hold the keys
 */
public record ServiceDocument(
        ServiceName name,
        int partitions,
        Fencing fencing,
        FailureDomain home,
        int deadlineMillis,
        int credentialTrustMillis,
        int continuityMillis,
        int maxAnswerBytes,
        Set<String> repeatableMethods,
        List<TargetDeclaration> targets)
        implements Document {

    /** How long pledges may stand in for the store when the document does not say, in milliseconds. */
    public static final int DEFAULT_CONTINUITY_MILLIS = 300_000;

    private static final int DEFAULT_PARTITIONS = 256;
    private static final int DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final int DEFAULT_CREDENTIAL_TRUST_MILLIS = 10_000;

    private static final int DEFAULT_MAX_ANSWER_BYTES = 8 << 20;

    /** Fills absent fields with their defaults. */
    public ServiceDocument {
        partitions = partitions == 0 ? DEFAULT_PARTITIONS : partitions;
        fencing = fencing == null ? Fencing.CHECKED : fencing;
        deadlineMillis = deadlineMillis == 0 ? DEFAULT_DEADLINE_MILLIS : deadlineMillis;
        credentialTrustMillis = credentialTrustMillis == 0 ? DEFAULT_CREDENTIAL_TRUST_MILLIS : credentialTrustMillis;
        continuityMillis = continuityMillis == 0 ? DEFAULT_CONTINUITY_MILLIS : continuityMillis;
        maxAnswerBytes = maxAnswerBytes == 0 ? DEFAULT_MAX_ANSWER_BYTES : maxAnswerBytes;
        repeatableMethods = repeatableMethods == null ? Set.of("GET", "HEAD") : Set.copyOf(repeatableMethods);
        targets = targets == null ? List.of() : List.copyOf(targets);
    }

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.service(name);
    }

    /** Tells whether a request with this method may be run more than once. */
    public boolean repeatable(String method) {
        return repeatableMethods.contains(method);
    }

    /** Returns the declaration of a target, if the document has it. */
    public Optional<TargetDeclaration> target(TargetId id) {
        return targets.stream().filter(target -> target.id().equals(id)).findFirst();
    }

    /** Returns how long credentials are trusted without news. */
    public Duration credentialTrust() {
        return Duration.ofMillis(credentialTrustMillis);
    }
}
