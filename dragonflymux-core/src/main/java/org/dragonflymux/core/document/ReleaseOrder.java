package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.ServiceName;

/**
 * An operator's word that the hosts which assigned a service up to a term have stopped for good.
 *
 * @param service the service
 * @param term the last term that the order covers
 */
public record ReleaseOrder(ServiceName service, long term) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.release(service);
    }
}
