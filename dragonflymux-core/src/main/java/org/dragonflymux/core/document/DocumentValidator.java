package org.dragonflymux.core.document;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.dragonflymux.core.admission.AdmissionPool;
import org.dragonflymux.core.admission.RateLimit;
import org.dragonflymux.core.name.TargetId;

/** Validates documents before operators write them to the store. */
final class DocumentValidator {

    private static final int MAX_PARTITIONS = 16_384;
    private static final int MAX_SLOTS = 1_024;
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_DEADLINE_MILLIS = 300_000;
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{16}");

    private final List<DocumentError> errors = new ArrayList<>();

    private DocumentValidator() {}

    static List<DocumentError> validate(Document document) {
        DocumentValidator validator = new DocumentValidator();
        switch (document) {
            case ServiceDocument service -> validator.service(service);
            case CustomerDocument customer -> validator.customer(customer);
            case DomainIntent intent -> validator.require(intent.domain() != null, "/domain", "a failure domain");
            case TargetIntent intent -> validator.targetIntent(intent);
            case KeyPin pin -> validator.pin(pin);
            case ReleaseOrder order -> validator.require(order.service() != null, "/service", "a service");
            case HostRecord record ->
                validator.require(false, "/kind", "a kind that operators may write, not " + record.key());
            case AssignmentTable table ->
                validator.require(false, "/kind", "a kind that operators may write, not " + table.key());
        }
        return validator.errors;
    }

    private void require(boolean valid, String path, String expected) {
        if (!valid) {
            errors.add(new DocumentError(path, 0, expected));
        }
    }

    private void requireRange(int value, int min, int max, String path) {
        require(value >= min && value <= max, path, "%d to %d, not %d".formatted(min, max, value));
    }

    private void service(ServiceDocument service) {
        require(service.name() != null, "/name", "the service's name");
        require(
                service.name() == null || !AdmissionPool.isReservedName(service.name()),
                "/name",
                "a name that does not start with the reserved word admission");
        requireRange(service.partitions(), 1, MAX_PARTITIONS, "/partitions");
        requireRange(service.deadlineMillis(), 1, MAX_DEADLINE_MILLIS, "/deadline-millis");
        requireRange(service.credentialTrustMillis(), 1, Integer.MAX_VALUE, "/credential-trust-millis");
        requireRange(service.continuityMillis(), 1, Integer.MAX_VALUE, "/continuity-millis");
        requireRange(service.maxAnswerBytes(), 1, MAX_ANSWER_BYTES, "/max-answer-bytes");
        require(!service.targets().isEmpty(), "/targets", "at least one target");
        Set<TargetId> seen = new HashSet<>();
        for (int i = 0; i < service.targets().size(); i++) {
            target(service, service.targets().get(i), "/targets/" + i, seen);
        }
    }

    private void target(ServiceDocument service, TargetDeclaration target, String path, Set<TargetId> seen) {
        require(target.id() != null, path + "/id", "the target's name");
        require(seen.add(target.id()), path + "/id", "a name that no other target of the service has");
        require(target.domain() != null, path + "/domain", "the target's failure domain");
        require(
                service.home() == null || service.home().equals(target.domain()),
                path + "/domain",
                "the service's home " + service.home());
        require(isAddress(target.address()), path + "/address", "an IP address and port, such as 10.0.0.1:8080");
        requireRange(target.slots(), 1, MAX_SLOTS, path + "/slots");
    }

    private static boolean isAddress(String address) {
        if (address == null) {
            return false;
        }
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            return parsed.hasPort() && InetAddresses.isInetAddress(parsed.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private void customer(CustomerDocument customer) {
        require(customer.name() != null, "/name", "the customer's name");
        RateLimit unreserved = RateLimit.unreserved(customer);
        limit(unreserved, "/rate-per-second", "/burst", "excluding the reserves, ");
        customer.reserves()
                .forEach((domain, reserve) -> limit(
                        RateLimit.of(reserve),
                        "/reserves/" + domain + "/rate-per-second",
                        "/reserves/" + domain + "/burst",
                        ""));
        requireRange(customer.weight(), 1, MAX_WEIGHT, "/weight");
        for (int i = 0; i < customer.credentials().size(); i++) {
            CredentialGrant grant = customer.credentials().get(i);
            String path = "/credentials/" + i;
            require(grant.id() != null, path + "/id", "the credential's identifier");
            require(
                    grant.sha256() != null && SHA256.matcher(grant.sha256()).matches(),
                    path + "/sha256",
                    "64 hexadecimal digits in lower case");
        }
    }

    private void limit(RateLimit limit, String ratePath, String burstPath, String prefix) {
        boolean validRate = limit.ratePerSecond() > 0 && Double.isFinite(limit.ratePerSecond());
        require(validRate, ratePath, prefix + "a rate above 0");
        if (validRate) {
            int minBurst = RateLimit.minBurst(limit.ratePerSecond());
            require(
                    limit.burst() >= minBurst,
                    burstPath,
                    prefix + "at least " + minBurst + ", so that tokens can be lent");
        }
    }

    private void targetIntent(TargetIntent intent) {
        require(intent.service() != null, "/service", "a service");
        require(intent.target() != null, "/target", "a target");
    }

    private void pin(KeyPin pin) {
        require(pin.service() != null, "/service", "a service");
        require(pin.target() != null, "/target", "a target");
        require(
                pin.keyHash() != null && KEY_HASH.matcher(pin.keyHash()).matches(),
                "/key-hash",
                "16 hexadecimal digits in lower case");
    }
}
