package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.FailureDomain;

/**
 * An operator's decision to take a failure domain out of service or to return it to service.
 *
 * @param out whether the targets of the domain receive no new requests
 */
public record DomainIntent(FailureDomain domain, boolean out) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.domain(domain);
    }
}
