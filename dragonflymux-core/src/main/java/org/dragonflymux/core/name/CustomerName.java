package org.dragonflymux.core.name;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a customer.
 *
 * @param value 1 to 63 characters, lower-case letters, digits, '-' and '.', with a letter or digit at both ends
 */
public record CustomerName(@JsonValue String value) implements Comparable<CustomerName> {

    /**
     * Creates a name.
     *
     * @throws InvalidNameException if the value is not a well-formed name
     */
    public CustomerName {
        Names.check("customer", value);
    }

    @JsonCreator
    public static CustomerName of(String value) {
        return new CustomerName(value);
    }

    @Override
    public int compareTo(CustomerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
