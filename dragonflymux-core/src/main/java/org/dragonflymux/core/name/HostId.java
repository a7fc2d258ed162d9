package org.dragonflymux.core.name;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a host.
 *
 * @param value 1 to 63 characters, lower-case letters, digits, '-' and '.', with a letter or digit at both ends
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {

    /**
     * Creates a name.
     *
     * @throws InvalidNameException if the value is not a well-formed name
     */
    public HostId {
        Names.check("host", value);
    }

    @JsonCreator
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
