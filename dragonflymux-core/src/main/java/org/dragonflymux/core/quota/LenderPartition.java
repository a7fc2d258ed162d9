package org.dragonflymux.core.quota;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.name.CustomerName;

/**
 * Who lends the tokens of a part of the customers, as it is written in the store.
 *
 * @param number the part
 * @param holder the lender
 * @param lease the lease that the seat is bound to
 * @param epoch the revision of the store at which it was taken; no two tenures of a seat have the same
 */
public record LenderPartition(int number, FleetMember holder, long lease, long epoch) {

    /** How many seats there are. */
    public static final int COUNT = 16;

    /** Returns the number of the seat that lends a customer's tokens. */
    public static int of(CustomerName customer) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(customer.value(), StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, COUNT);
    }
}
