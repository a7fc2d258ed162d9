package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.dragonflymux.core.name.ServiceName;

/**
 * An operator's statement that the hosts that were assigners of a service in any term up to the given one have stopped
 * permanently.
 *
 * @param term the last term that the statement covers
 */
public record ReleaseOrder(ServiceName service, long term) implements Document {

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.release(service);
    }
}
