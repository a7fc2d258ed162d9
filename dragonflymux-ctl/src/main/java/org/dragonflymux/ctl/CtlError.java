package org.dragonflymux.ctl;

import java.util.List;
import java.util.stream.Collectors;
import org.dragonflymux.core.document.DocumentError;
import org.dragonflymux.core.document.DocumentKey;

/** Why a command failed. */
public sealed interface CtlError {

    /** Returns the program's exit code. */
    int exitCode();

    /** Returns what the user is told. */
    String message();

    /** The command line is wrong. */
    record Usage(String message) implements CtlError {
        @Override
        public int exitCode() {
            return 2;
        }
    }

    /** A document has faults. */
    record InvalidDocument(String file, List<DocumentError> errors) implements CtlError {
        @Override
        public int exitCode() {
            return 3;
        }

        @Override
        public String message() {
            return errors.stream().map(error -> file + ": " + error).collect(Collectors.joining("\n"));
        }
    }

    /** Somebody else changed the document first; nothing was written. */
    record Conflict(DocumentKey key, String difference) implements CtlError {
        @Override
        public int exitCode() {
            return 4;
        }

        @Override
        public String message() {
            return "conflict: %s was changed meanwhile; nothing was written. What your change would undo:%n%s"
                    .formatted(key.path(), difference);
        }
    }

    /** The store did not answer. */
    record StoreUnreachable() implements CtlError {
        @Override
        public int exitCode() {
            return 5;
        }

        @Override
        public String message() {
            return "the store does not answer";
        }
    }

    /** The store did not answer a write, and reading back did not show it. */
    record WriteUncertain(DocumentKey key) implements CtlError {
        @Override
        public int exitCode() {
            return 6;
        }

        @Override
        public String message() {
            return "the store did not answer; the change of %s may still take effect: check with 'show'"
                    .formatted(key.path());
        }
    }

    /** The store has no such document. */
    record NotFound(DocumentKey key) implements CtlError {
        @Override
        public int exitCode() {
            return 7;
        }

        @Override
        public String message() {
            return key.path() + " does not exist";
        }
    }

    /** A file cannot be read. */
    record UnreadableFile(String file) implements CtlError {
        @Override
        public int exitCode() {
            return 8;
        }

        @Override
        public String message() {
            return file + " cannot be read";
        }
    }

    /** No line of the logs names a request. */
    record NotInLogs(String requestId) implements CtlError {
        @Override
        public int exitCode() {
            return 9;
        }

        @Override
        public String message() {
            return "no line names the request " + requestId
                    + "; lines beyond 20 a second and host are left out by hosts";
        }
    }
}
