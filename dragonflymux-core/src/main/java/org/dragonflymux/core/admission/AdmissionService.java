package org.dragonflymux.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.dragonflymux.core.assignment.KeyHash;
import org.dragonflymux.core.document.Fencing;
import org.dragonflymux.core.document.ServiceDocument;
import org.dragonflymux.core.document.TargetDeclaration;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/**
 * The duty of keeping customers' buckets, spread over hosts by an assignment table as a service's lanes are.
 *
 * <p>Its lanes have no targets behind them: the dispatcher of lane <i>n</i> is the one holder of the buckets of all
 * customers that hash to <i>n</i>.
 */
public final class AdmissionService {

    /** The reserved name of the service. */
    public static final ServiceName NAME = ServiceName.of("admission");

    private static final int LANES = 32;
    private static final int CONTINUITY_MILLIS = 300_000;
    private static final ServiceDocument DOCUMENT = document();

    private AdmissionService() {}

    /** Returns the service's document, the same on all hosts. */
    public static ServiceDocument service() {
        return DOCUMENT;
    }

    /** Returns the lane that holds a customer's bucket. */
    public static TargetId lane(CustomerName customer) {
        return laneId(KeyHash.partition(KeyHash.of(customer.value()), LANES));
    }

    private static TargetId laneId(int index) {
        return TargetId.of("bucket-" + index);
    }

    private static ServiceDocument document() {
        List<TargetDeclaration> lanes = new ArrayList<>();
        for (int i = 0; i < LANES; i++) {
            lanes.add(new TargetDeclaration(laneId(i), null, "", 1));
        }
        return new ServiceDocument(NAME, 1, Fencing.CHECKED, null, 0, 0, CONTINUITY_MILLIS, 0, Set.of(), lanes);
    }
}
