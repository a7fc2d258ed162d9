package org.dragonflymux.core.document;

import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * A key in the platform's store.
 *
 * @param path the full key, which starts with {@link #PREFIX}
 */
public record DocumentKey(String path) implements Comparable<DocumentKey> {

    /** The prefix of all keys of the project. */
    public static final String PREFIX = "/dragonflymux/";

    /** The prefix of the keys of hosts' sessions. */
    public static final String SESSION_PREFIX = PREFIX + "session/";

    /** The prefix of the keys of customers' documents. */
    public static final String CUSTOMER_PREFIX = PREFIX + "customer/";

    /** Returns the key of a service's document. */
    public static DocumentKey service(ServiceName service) {
        return new DocumentKey(PREFIX + "service/" + service);
    }

    /** Returns the key of a customer's document. */
    public static DocumentKey customer(CustomerName customer) {
        return new DocumentKey(CUSTOMER_PREFIX + customer);
    }

    /** Returns the key of the document that states an operator's intent for a failure domain. */
    public static DocumentKey domain(FailureDomain domain) {
        return new DocumentKey(PREFIX + "domain/" + domain);
    }

    /** Returns the key of the document that states an operator's intent for a target. */
    public static DocumentKey target(ServiceName service, TargetId target) {
        return new DocumentKey(PREFIX + "target/" + service + "/" + target);
    }

    /** Returns the key of a pin. */
    public static DocumentKey pin(ServiceName service, String keyHash) {
        return new DocumentKey(PREFIX + "pin/" + service + "/" + keyHash);
    }

    /** Returns the key of a release order. */
    public static DocumentKey release(ServiceName service) {
        return new DocumentKey(PREFIX + "release/" + service);
    }

    /** Returns the key of a host's session. */
    public static DocumentKey session(HostId host) {
        return new DocumentKey(SESSION_PREFIX + host);
    }

    /** Returns the key of a service's assignment table. */
    public static DocumentKey assignment(ServiceName service) {
        return new DocumentKey(PREFIX + "assignment/" + service);
    }

    /** Returns whether this is the key of a host's session. */
    public boolean isSession() {
        return path.startsWith(SESSION_PREFIX);
    }

    @Override
    public int compareTo(DocumentKey other) {
        return path.compareTo(other.path);
    }
}
