package org.dragonflymux.core.desired;

import java.util.OptionalInt;
import org.dragonflymux.core.name.CustomerName;

/**
 * A customer and its rate limit, which applies to the whole fleet.
 *
 * @param name the customer
 * @param priority overrides the route's priority if present
 * @param ratePerSecond requests per second, 0 for no limit
 * @param burst how many requests may exceed the rate at once
 */
public record CustomerSpec(CustomerName name, OptionalInt priority, double ratePerSecond, double burst) {

    public boolean limited() {
        return ratePerSecond > 0;
    }
}
