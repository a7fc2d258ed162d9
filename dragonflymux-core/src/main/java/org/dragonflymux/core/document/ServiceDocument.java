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
 * The configuration of a service, maintained by the team that owns it.
 *
 * @param name the service's name, which is the first segment of its request paths
 * @param partitions the number of partitions of the hashed key space
 * @param fencing the check that the targets perform before they run a request
 * @param home the failure domain that keeps the keys while it is partitioned from the others, or null if the keys are
 *     moved instead
 * @param deadlineMillis the default and maximum deadline of a request, in milliseconds
 * @param credentialTrustMillis how long a host trusts credentials without receiving updates that may revoke them, in
 *     milliseconds
 * @param continuityMillis how long hosts may serve on the basis of pledges while the store is unreachable, in
 *     milliseconds
 * @param maxAnswerBytes the maximum size of a response, in bytes
 * @param repeatableMethods the HTTP methods whose requests may be run more than once
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

    /** The default of {@link #continuityMillis}, in milliseconds. */
    public static final int DEFAULT_CONTINUITY_MILLIS = 300_000;

    private static final int DEFAULT_PARTITIONS = 256;
    private static final int DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final int DEFAULT_CREDENTIAL_TRUST_MILLIS = 10_000;

    private static final int DEFAULT_MAX_ANSWER_BYTES = 8 << 20;

    /** Replaces absent fields by their defaults. */
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

    /** Returns whether requests with the given method may be run more than once. */
    public boolean repeatable(String method) {
        return repeatableMethods.contains(method);
    }

    /** Returns the declaration of a target, if it exists. */
    public Optional<TargetDeclaration> target(TargetId id) {
        return targets.stream().filter(target -> target.id().equals(id)).findFirst();
    }

    /** Returns how long credentials are trusted without updates. */
    public Duration credentialTrust() {
        return Duration.ofMillis(credentialTrustMillis);
    }
}
