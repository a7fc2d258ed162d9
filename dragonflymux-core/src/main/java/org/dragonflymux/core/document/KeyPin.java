package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * An operator's decision to assign a single key to a given target.
 *
 * @param keyHash the 64-bit hash of the key, as 16 hexadecimal digits
 * @param target the target that must own the key
 */
public record KeyPin(ServiceName service, String keyHash, TargetId target) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.pin(service, keyHash);
    }
}
