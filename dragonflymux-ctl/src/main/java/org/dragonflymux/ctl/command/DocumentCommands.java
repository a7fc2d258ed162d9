package org.dragonflymux.ctl.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;
import org.dragonflymux.ctl.store.TextDiff;
import org.dragonflymux.ctl.store.VersionedDocument;

/** Commands that check, compare, write and show documents, which teams keep in version control. */
final class DocumentCommands {

    private DocumentCommands() {}

    static List<Command> all() {
        return List.of(
                SimpleCommand.offline(
                        "check",
                        List.of("FILE"),
                        "validate a document without accessing the store",
                        (arguments, store) -> read(arguments.getFirst())
                                .map(document -> Report.of("document", "state")
                                        .with(document.key().path(), "correct"))),
                SimpleCommand.of(
                        "diff",
                        List.of("FILE"),
                        "show the changes that apply would make",
                        (arguments, store) -> read(arguments.getFirst()).flatMap(document -> diff(document, store))),
                SimpleCommand.of(
                        "apply",
                        List.of("FILE"),
                        "write a document to the store",
                        (arguments, store) -> read(arguments.getFirst())
                                .flatMap(document -> store.replace(document)
                                        .map(revision -> revisionReport(document.key(), revision)))),
                SimpleCommand.of(
                        "apply-at",
                        List.of("REVISION", "FILE"),
                        "write a document to the store if its current revision there is REVISION",
                        (arguments, store) -> read(arguments.get(1))
                                .flatMap(document -> store.write(document, Long.parseLong(arguments.getFirst()))
                                        .map(revision -> revisionReport(document.key(), revision)))),
                SimpleCommand.of(
                        "show",
                        List.of("KIND/NAME"),
                        "print a document, for example service/verifica, customer/acme or assignment/verifica",
                        (arguments, store) -> show(new DocumentKey(DocumentKey.PREFIX + arguments.getFirst()), store)));
    }

    static Either<CtlError, Document> read(String file) {
        try {
            return DocumentCodec.fromYaml(Files.readString(Path.of(file)))
                    .mapLeft(errors -> new CtlError.InvalidDocument(file, errors));
        } catch (IOException e) {
            return Either.left(new CtlError.UnreadableFile(file));
        }
    }

    static Report revisionReport(DocumentKey key, long revision) {
        return Report.of("document", "revision").with(key.path(), revision);
    }

    private static Either<CtlError, Report> diff(Document document, DocumentStore store) {
        return store.find(document.key()).map(found -> {
            String current =
                    found.map(stored -> DocumentCodec.toYaml(stored.document())).orElse("");
            String difference = TextDiff.of(current, DocumentCodec.toYaml(document));
            long revision = found.map(VersionedDocument::revision).orElse(0L);
            return Report.of("document", "revision", "difference")
                    .with(document.key().path(), revision, difference.isEmpty() ? "none" : difference);
        });
    }

    private static Either<CtlError, Report> show(DocumentKey key, DocumentStore store) {
        return store.find(key)
                .flatMap(found -> found.isEmpty()
                        ? Either.left(new CtlError.NotFound(key))
                        : Either.right(Report.of("revision", "document")
                                .with(
                                        found.get().revision(),
                                        DocumentCodec.toYaml(found.get().document()))));
    }
}
