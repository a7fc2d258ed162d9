package org.dragonflymux.ctl.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.dragonflymux.core.configuration.StoredEntry;
import org.dragonflymux.core.document.Document;
import org.dragonflymux.core.document.DocumentCodec;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.message.StoreReply;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.runtime.http.RatpackExecutor;
import org.dragonflymux.runtime.store.EtcdClient;
import org.dragonflymux.runtime.store.EtcdCodec;
import org.dragonflymux.runtime.store.EtcdRequest;

/** Reads and writes the operators' documents in the store. Writes are conditional on the revision that was read. */
public final class DocumentStore implements AutoCloseable {

    private static final int MAX_READ_BACK_ATTEMPTS = 3;

    private final RatpackExecutor executor;
    private final EtcdClient client;

    private DocumentStore(RatpackExecutor executor, EtcdClient client) {
        this.executor = executor;
        this.client = client;
    }

    /** Connects to the store at an address. */
    public static DocumentStore at(URI address) {
        RatpackExecutor executor = RatpackExecutor.withThreads(1);
        return new DocumentStore(executor, EtcdClient.of(address, executor));
    }

    private Either<CtlError, JsonNode> call(EtcdRequest request) {
        CompletableFuture<Either<CtlError, JsonNode>> answer = new CompletableFuture<>();
        client.send(
                request,
                node -> answer.complete(
                        node.has("code") ? Either.left(new CtlError.StoreUnreachable()) : Either.right(node)),
                () -> answer.complete(Either.left(new CtlError.StoreUnreachable())));
        return answer.join();
    }

    /** Reads all documents whose keys start with a prefix. */
    public Either<CtlError, List<VersionedDocument>> list(String prefix) {
        return range(prefix, EtcdCodec.prefixEnd(prefix));
    }

    /** Reads one document. */
    public Either<CtlError, Optional<VersionedDocument>> find(DocumentKey key) {
        return range(key.path(), key.path() + '\0').map(found -> found.stream().findFirst());
    }

    private Either<CtlError, List<VersionedDocument>> range(String from, String to) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("key", EtcdCodec.encodeBase64(from))
                .put("range_end", EtcdCodec.encodeBase64(to));
        return call(new EtcdRequest(EtcdCodec.RANGE, body)).map(DocumentStore::documents);
    }

    private static List<VersionedDocument> documents(JsonNode range) {
        List<VersionedDocument> documents = new ArrayList<>();
        for (StoredEntry entry : EtcdCodec.decodeRange(range)) {
            DocumentCodec.fromJson(entry.json())
                    .forEach(document -> documents.add(new VersionedDocument(document, entry.revision())));
        }
        return documents;
    }

    /**
     * Writes a document if its current revision in the store is the expected one.
     *
     * <p>If the store does not answer, the document is read back to determine whether the write took effect.
     *
     * @param expectedRevision the revision that was read, 0 if the document did not exist
     * @return the revision of the written document
     */
    public Either<CtlError, Long> write(Document document, long expectedRevision) {
        String json = DocumentCodec.toJson(document);
        Either<CtlError, JsonNode> answer = call(EtcdCodec.compareAndSwap(document.key(), expectedRevision, json));
        if (answer.isLeft()) {
            return readBack(document, expectedRevision);
        }
        StoreReply reply = EtcdCodec.decodeCompareAndSwap(answer.get());
        if (reply instanceof StoreReply.Written written) {
            return Either.right(written.revision());
        }
        return find(document.key()).flatMap(found -> Either.left(conflict(document, found)));
    }

    private static CtlError conflict(Document requested, Optional<VersionedDocument> found) {
        String storedYaml =
                found.map(stored -> DocumentCodec.toYaml(stored.document())).orElse("");
        return new CtlError.Conflict(requested.key(), TextDiff.of(storedYaml, DocumentCodec.toYaml(requested)));
    }

    private Either<CtlError, Long> readBack(Document document, long expectedRevision) {
        for (int i = 0; i < MAX_READ_BACK_ATTEMPTS; i++) {
            Either<CtlError, Optional<VersionedDocument>> found = find(document.key());
            if (found.isRight()) {
                Optional<VersionedDocument> stored = found.get();
                boolean written = stored.filter(current -> current.revision() > expectedRevision
                                && current.document().equals(document))
                        .isPresent();
                return written
                        ? Either.right(stored.get().revision())
                        : Either.left(new CtlError.WriteUncertain(document.key()));
            }
        }
        return Either.left(new CtlError.WriteUncertain(document.key()));
    }

    /** Reads a document, applies a change and writes it back. */
    public <T extends Document> Either<CtlError, T> change(DocumentKey key, Class<T> type, UnaryOperator<T> change) {
        return find(key).flatMap(found -> {
            if (found.isEmpty() || !type.isInstance(found.get().document())) {
                return Either.left(new CtlError.NotFound(key));
            }
            T changed = change.apply(type.cast(found.get().document()));
            return write(changed, found.get().revision()).map(revision -> changed);
        });
    }

    /** Overwrites a document, unless it is changed between the read and the write. */
    public Either<CtlError, Long> replace(Document document) {
        return find(document.key())
                .flatMap(found ->
                        write(document, found.map(VersionedDocument::revision).orElse(0L)));
    }

    @Override
    public void close() {
        executor.close();
    }
}
