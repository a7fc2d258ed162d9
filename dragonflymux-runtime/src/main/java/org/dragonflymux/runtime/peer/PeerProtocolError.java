package org.dragonflymux.runtime.peer;

/** Why a link between two entry hosts was closed. */
public enum PeerProtocolError {
    /** A frame is malformed, or an exception occurred on the connection. */
    UNREADABLE,
    /** The peer uses another version of the protocol. */
    VERSION,
    /** The peer does not know the shared secret. */
    SECRET,
    /** Nothing was received within the read time-out. */
    SILENT
}
