package org.dragonflymux.core.desired;

import java.util.OptionalInt;
import org.dragonflymux.core.name.CustomerName;

/**
 * A customer and its limit over the whole fleet.
 *
 * @param name the customer
 * @param priority goes before the route's priority where present
 * @param ratePerSecond requests a second, 0 for no limit
 * @param burst how many requests beyond the rate may come at once
 */
public record CustomerSpec(CustomerName name, OptionalInt priority, double ratePerSecond, double burst) {

    /** Returns whether the customer's rate is limited. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
