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

/** The checks that a document passes before it is written to the store. */
final class DocumentRules {

    private static final int MAX_PARTITIONS = 16_384;
    private static final int MAX_SLOTS = 1_024;
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_DEADLINE_MILLIS = 300_000;
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{16}");

    private final List<DocumentError> errors = new ArrayList<>();

    private DocumentRules() {}

    static List<DocumentError> check(Document document) {
        DocumentRules rules = new DocumentRules();
        switch (document) {
            case ServiceDocument service -> rules.service(service);
            case CustomerDocument customer -> rules.customer(customer);
            case DomainIntent intent -> rules.require(intent.domain() != null, "/domain", "a failure domain");
            case TargetIntent intent -> rules.targetIntent(intent);
            case KeyPin pin -> rules.pin(pin);
            case ReleaseOrder order -> rules.require(order.service() != null, "/service", "a service");
            case HostRecord record -> rules.require(false, "/kind", "a kind that operators write, not " + record.key());
            case AssignmentTable table ->
                rules.require(false, "/kind", "a kind that operators write, not " + table.key());
        }
        return rules.errors;
    }

    private void require(boolean holds, String path, String expected) {
        if (!holds) {
            errors.add(new DocumentError(path, 0, expected));
        }
    }

    private void between(int value, int least, int most, String path) {
        require(value >= least && value <= most, path, "%d to %d, not %d".formatted(least, most, value));
    }

    private void service(ServiceDocument service) {
        require(service.name() != null, "/name", "the service's name");
        require(
                service.name() == null || !AdmissionPool.reserved(service.name()),
                "/name",
                "a name that does not start with the reserved word admission");
        between(service.partitions(), 1, MAX_PARTITIONS, "/partitions");
        between(service.deadlineMillis(), 1, MAX_DEADLINE_MILLIS, "/deadline-millis");
        between(service.credentialTrustMillis(), 1, Integer.MAX_VALUE, "/credential-trust-millis");
        between(service.continuityMillis(), 1, Integer.MAX_VALUE, "/continuity-millis");
        between(service.maxAnswerBytes(), 1, MAX_ANSWER_BYTES, "/max-answer-bytes");
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
        require(isAddress(target.address()), path + "/address", "an IP number and port, as 10.0.0.1:8080");
        between(target.slots(), 1, MAX_SLOTS, path + "/slots");
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
        limit(unreserved, "/rate-per-second", "/burst", "beside the reserves ");
        customer.reserves()
                .forEach((domain, reserve) -> limit(
                        RateLimit.of(reserve),
                        "/reserves/" + domain + "/rate-per-second",
                        "/reserves/" + domain + "/burst",
                        ""));
        between(customer.weight(), 1, MAX_WEIGHT, "/weight");
        for (int i = 0; i < customer.credentials().size(); i++) {
            CredentialGrant grant = customer.credentials().get(i);
            String path = "/credentials/" + i;
            require(grant.id() != null, path + "/id", "the credential's handle");
            require(
                    grant.sha256() != null && SHA256.matcher(grant.sha256()).matches(),
                    path + "/sha256",
                    "64 hexadecimal digits in lower case");
        }
    }

    private void limit(RateLimit limit, String ratePath, String burstPath, String where) {
        boolean rate = limit.ratePerSecond() > 0 && Double.isFinite(limit.ratePerSecond());
        require(rate, ratePath, where + "a rate above 0");
        if (rate) {
            int least = RateLimit.leastBurst(limit.ratePerSecond());
            require(limit.burst() >= least, burstPath, where + "at least " + least + ", so that tokens can be lent");
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
