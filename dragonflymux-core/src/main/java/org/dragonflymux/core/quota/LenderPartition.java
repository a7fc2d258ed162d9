package org.dragonflymux.core.quota;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.CustomerName;

/**
 * A partition of the customers, with the host that lends their tokens, as recorded in the store.
 *
 * @param number the number of the partition
 * @param holder the lender
 * @param lease the lease that the record is bound to
 * @param epoch the store revision at which the holder claimed the partition, unique for each claim
 */
public record LenderPartition(int number, FleetMember holder, long lease, long epoch) {

    /** The number of partitions. */
    public static final int COUNT = 16;

    /** Returns the number of a customer's partition. */
    public static int numberOf(CustomerName customer) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(customer.value(), StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, COUNT);
    }
}
