package org.dragonflymux.core.admission;

import java.util.List;
import org.dragonflymux.core.configuration.ConfigurationReplica;
import org.dragonflymux.core.document.CustomerDocument;

/** The pools that the customers in a replica require, recomputed only when a customer changes. */
public final class AdmissionPools {

    private final ConfigurationReplica replica;
    private long changesSeen = -1;
    private List<AdmissionPool> pools = List.of();

    private AdmissionPools(ConfigurationReplica replica) {
        this.replica = replica;
    }

    /** Returns the pools for the customers in a replica. */
    public static AdmissionPools over(ConfigurationReplica replica) {
        return new AdmissionPools(replica);
    }

    public List<AdmissionPool> all() {
        long changes = replica.changes(CustomerDocument.class);
        if (changes != changesSeen) {
            changesSeen = changes;
            pools = AdmissionPool.all(replica.all(CustomerDocument.class));
        }
        return pools;
    }
}
