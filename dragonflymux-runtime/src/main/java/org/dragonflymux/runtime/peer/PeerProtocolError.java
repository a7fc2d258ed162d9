package org.dragonflymux.runtime.peer;

/** Why a link between two entry hosts is closed. */
public enum PeerProtocolError {
    /** A frame is not a message. */
    UNREADABLE,
    /** The other side speaks another version. */
    VERSION,
    /** The other side does not know the shared secret. */
    SECRET,
    /** Nothing came for too long. */
    SILENT
}
