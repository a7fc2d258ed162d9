package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.FailureDomain;

/**
 * An operator's decision to take a failure domain out or bring it back.
 *
 * @param domain the failure domain
 * @param out whether its targets get no new work
 */
public record DomainIntent(FailureDomain domain, boolean out) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.domain(domain);
    }
}
