package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A document in the platform's store, written by operators or by entry hosts. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ServiceDocument.class, name = "service"),
    @JsonSubTypes.Type(value = CustomerDocument.class, name = "customer"),
    @JsonSubTypes.Type(value = DomainIntent.class, name = "domain"),
    @JsonSubTypes.Type(value = TargetIntent.class, name = "target"),
    @JsonSubTypes.Type(value = KeyPin.class, name = "pin"),
    @JsonSubTypes.Type(value = ReleaseOrder.class, name = "release"),
    @JsonSubTypes.Type(value = HostRecord.class, name = "host"),
    @JsonSubTypes.Type(value = AssignmentTable.class, name = "assignment"),
})
public sealed interface Document
        permits ServiceDocument,
                CustomerDocument,
                DomainIntent,
                TargetIntent,
                KeyPin,
                ReleaseOrder,
                HostRecord,
                AssignmentTable {

    /** Returns the key under which this document is stored. */
    DocumentKey key();
}
