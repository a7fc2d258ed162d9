package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * An operator's decision to place one key alone.
 *
 * @param service the service
 * @param keyHash the key's 64-bit hash, 16 hexadecimal digits
 * @param target the target that is to own the key
 */
public record KeyPin(ServiceName service, String keyHash, TargetId target) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.pin(service, keyHash);
    }
}
