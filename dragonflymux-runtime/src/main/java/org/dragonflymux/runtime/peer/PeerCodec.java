package org.dragonflymux.runtime.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.vavr.control.Either;
import java.io.IOException;
import org.dragonflymux.core.message.Outcome;
import org.dragonflymux.core.message.PeerMessage;
import org.dragonflymux.core.name.HostId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes peer messages as MessagePack arrays without field names, and decodes them. */
public final class PeerCodec {

    /** The version of the message format. A connection between hosts with different versions is closed. */
    public static final int VERSION = 1;

    private static final ObjectMapper MAPPER = mapper();

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
    private interface Tagged {}

    private PeerCodec() {}

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.setAnnotationIntrospector(new ArrayIntrospector());
        mapper.registerModule(new JavaTimeModule());
        register(mapper, PeerMessage.class);
        register(mapper, Outcome.class);
        return mapper;
    }

    private static void register(ObjectMapper mapper, Class<?> sealed) {
        mapper.addMixIn(sealed, Tagged.class);
        for (Class<?> subclass : sealed.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(subclass, subclass.getSimpleName()));
        }
    }

    /** Serializes records as arrays, without field names. Identifiers such as {@link HostId} remain plain strings. */
    private static final class ArrayIntrospector extends JacksonAnnotationIntrospector {

        private static final long serialVersionUID = 1L;

        @Override
        public JsonFormat.Value findFormat(Annotated annotated) {
            Class<?> type = annotated.getRawType();
            boolean identifier = type.getPackageName().equals(HostId.class.getPackageName());
            return type.isRecord() && !identifier
                    ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
                    : super.findFormat(annotated);
        }
    }

    public static byte[] encode(PeerMessage message) {
        try {
            return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new MessageEncodingException(message.getClass(), e);
        }
    }

    /** Decodes a message; returns an error if the frame is malformed. */
    public static Either<PeerProtocolError, PeerMessage> decode(byte[] frame) {
        try {
            if (!wellFormed(frame)) {
                return Either.left(PeerProtocolError.UNREADABLE);
            }
            PeerMessage message = MAPPER.readValue(frame, PeerMessage.class);
            return message == null ? Either.left(PeerProtocolError.UNREADABLE) : Either.right(message);
        } catch (IOException | RuntimeException e) {
            return Either.left(PeerProtocolError.UNREADABLE);
        }
    }

    // ObjectMapper allocates as much memory as a length field declares. Skipping over the value first verifies that no
    // declared length exceeds the frame.
    private static boolean wellFormed(byte[] frame) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            unpacker.skipValue();
            return !unpacker.hasNext();
        }
    }
}
