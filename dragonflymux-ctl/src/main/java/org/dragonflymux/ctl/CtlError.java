package org.dragonflymux.ctl;

import java.util.List;
import java.util.stream.Collectors;
import org.dragonflymux.core.document.DocumentError;
import org.dragonflymux.core.document.DocumentKey;

/** Why a command failed. */
public sealed interface CtlError {

    /** Returns the program's exit code. */
    int exitCode();

    /** Returns the message for the user, of one or more lines. */
    String message();

    /** The command line is invalid. */
    record Usage(String message) implements CtlError {
        @Override
        public int exitCode() {
            return 2;
        }
    }

    /** A document is invalid. */
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

    /** The document was changed by someone else since it was read, so nothing was written. */
    record Conflict(DocumentKey key, String difference) implements CtlError {
        @Override
        public int exitCode() {
            return 4;
        }

        @Override
        public String message() {
            return "conflict: %s was changed by someone else; nothing was written. Your change would undo the following:%n%s"
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
            return "the store did not answer";
        }
    }

    /** The store did not answer a write, and reading the document back did not confirm the write. */
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

    /** The document does not exist in the store. */
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

    /** No log line contains the request's ID. */
    record NotInLogs(String requestId) implements CtlError {
        @Override
        public int exitCode() {
            return 9;
        }

        @Override
        public String message() {
            return "no log line contains the request ID " + requestId
                    + "; a host drops log lines about requests beyond 20 per second";
        }
    }
}
