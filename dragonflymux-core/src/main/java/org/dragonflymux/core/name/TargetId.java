package org.dragonflymux.core.name;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The name of a target, unique within its service.
 *
 * @param value 1 to 63 characters, lower-case letters, digits, '-' and '.', with a letter or digit at both ends
 */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {

    /**
     * Creates a name.
     *
     * @throws InvalidNameException if the value is not a well-formed name
     */
    public TargetId {
        Names.check("target", value);
    }

    @JsonCreator
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    /** Returns a hash that is the same on all hosts; collisions are rare but possible. */
    public int hash() {
        return Hashing.murmur3_32_fixed()
                .hashString(value, StandardCharsets.UTF_8)
                .asInt();
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
