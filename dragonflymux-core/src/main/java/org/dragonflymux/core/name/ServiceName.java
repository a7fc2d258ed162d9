package org.dragonflymux.core.name;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a service.
 *
 * @param value 1 to 63 characters, lower-case letters, digits, '-' and '.', with a letter or digit at both ends
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

    /**
     * Creates a name.
     *
     * @throws InvalidNameException if the value is not a well-formed name
     */
    public ServiceName {
        Names.check("service", value);
    }

    @JsonCreator
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
