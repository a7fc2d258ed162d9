package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The check that a service's targets perform before they run a request. */
public enum Fencing {
    /** The target runs a request only if it has the fencing token of the target's current, unexpired grant. */
    @JsonProperty("checked")
    CHECKED,
    /** The target ignores grants, but runs no request beyond its deadline. */
    @JsonProperty("deadline")
    DEADLINE,
    /** The target performs no check. */
    @JsonProperty("none")
    NONE
}
