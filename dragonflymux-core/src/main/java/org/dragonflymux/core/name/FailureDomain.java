package org.dragonflymux.core.name;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a failure domain.
 *
 * @param value 1 to 63 characters, lower-case letters, digits, '-' and '.', with a letter or digit at both ends
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

    /**
     * Creates a name.
     *
     * @throws InvalidNameException if the value is not a well-formed name
     */
    public FailureDomain {
        Names.check("failure domain", value);
    }

    @JsonCreator
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
