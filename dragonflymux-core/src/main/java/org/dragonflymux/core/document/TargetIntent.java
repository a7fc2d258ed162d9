package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * An operator's decision to drain a target or to return it to service.
 *
 * @param drain whether the target receives no new requests
 */
public record TargetIntent(ServiceName service, TargetId target, boolean drain) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.target(service, target);
    }
}
