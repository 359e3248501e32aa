package barleyfall.catalog.replica;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;

/** Serializes what replicas send to each other and store, in CBOR (RFC 8949). */
final class Codec {
    /**
     * Rejects unknown keys: they come from a later build, and a command that this build can't apply in the
     * same way as the other replicas must not be applied at all.
     */
    static final ObjectMapper CBOR =
        new CBORMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Codec() { }

    /** The CBOR form of one of this project's records. */
    static byte[] bytes(Object value) {
        try {
            return CBOR.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record cannot be serialized", e);
        }
    }

    /** A Ratis message that holds the CBOR form of a record. */
    static Message message(Object value) {
        return Message.valueOf(UnsafeByteOperations.unsafeWrap(bytes(value)));
    }

    /** Reads a record; throws on damaged content and on unknown keys. */
    static <T> T read(ByteString content, Class<T> type) throws IOException {
        return CBOR.readValue(content.newInput(), type);
    }
}
