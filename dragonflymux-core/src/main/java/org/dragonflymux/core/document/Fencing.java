package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a service's targets check before they run a request. */
public enum Fencing {
    /** The target runs a request only under the fencing token of its present, unexpired grant. */
    @JsonProperty("checked")
    CHECKED,
    /** The target ignores grants but runs no request past its deadline. */
    @JsonProperty("deadline")
    DEADLINE,
    /** The target checks nothing. */
    @JsonProperty("none")
    NONE
}
