package org.dragonflymux.core.caller;

/** Why a caller's connection is closed before the caller has finished. */
public enum CloseReason {
    /** Requests and responses take more memory than the limit. */
    MEMORY,
    /** There are more connections than the limit. */
    CONNECTIONS,
    /** The header section took longer than the header timeout. */
    HEADER_TIMEOUT,
    /** Nothing more of a body arrived for the idle timeout. */
    BODY_TIMEOUT,
    /** The caller read nothing of its responses for the idle timeout. */
    UNREAD_RESPONSES
}
