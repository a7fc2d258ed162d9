package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Serializes and deserializes documents as JSON for the store, and as YAML for version control. */
public final class DocumentCodec {

    private static final ObjectMapper JSON = configure(new ObjectMapper());
    private static final ObjectMapper YAML = configure(new ObjectMapper(new YAMLFactory()));

    private DocumentCodec() {}

    private static ObjectMapper configure(ObjectMapper mapper) {
        return mapper.setPropertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
                .setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    public static String toJson(Document document) {
        try {
            return JSON.writerFor(Document.class).writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new UnwritableDocumentException(document.key(), e);
        }
    }

    public static String toYaml(Document document) {
        try {
            return YAML.writerFor(Document.class).writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new UnwritableDocumentException(document.key(), e);
        }
    }

    /** Parses a document in the JSON format of the store, without validating it. */
    public static Either<List<DocumentError>, Document> fromJson(String text) {
        return read(JSON, text);
    }

    /** Parses and validates a document in the YAML format. Errors contain the line of the invalid field. */
    public static Either<List<DocumentError>, Document> fromYaml(String text) {
        return read(YAML, text).flatMap(DocumentCodec::validated).mapLeft(errors -> withLines(errors, text));
    }

    private static Either<List<DocumentError>, Document> read(ObjectMapper mapper, String text) {
        try {
            Document document = mapper.readValue(text, Document.class);
            return document == null ? invalid("", 1, "a document, but the text is empty") : Either.right(document);
        } catch (JsonMappingException e) {
            return invalid(pointer(e), line(e), e.getOriginalMessage());
        } catch (JsonProcessingException e) {
            return invalid("", line(e), e.getOriginalMessage());
        }
    }

    private static Either<List<DocumentError>, Document> validated(Document document) {
        List<DocumentError> errors = DocumentValidator.validate(document);
        return errors.isEmpty() ? Either.right(document) : Either.left(errors);
    }

    private static List<DocumentError> withLines(List<DocumentError> errors, String text) {
        Map<String, Integer> lines = lines(text);
        return errors.stream()
                .map(error -> new DocumentError(
                        error.path(), lines.getOrDefault(error.path(), error.line()), error.expected()))
                .toList();
    }

    private static Map<String, Integer> lines(String text) {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = YAML.createParser(text)) {
            while (parser.nextToken() != null) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        } catch (IOException e) {
            lines.clear();
        }
        return lines;
    }

    private static String pointer(JsonMappingException e) {
        StringBuilder pointer = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            pointer.append('/')
                    .append(reference.getFieldName() == null ? reference.getIndex() : reference.getFieldName());
        }
        return pointer.toString();
    }

    private static int line(JsonProcessingException e) {
        return e.getLocation() == null ? 0 : e.getLocation().getLineNr();
    }

    private static Either<List<DocumentError>, Document> invalid(String path, int line, String expected) {
        return Either.left(List.of(new DocumentError(path, line, expected)));
    }
}
