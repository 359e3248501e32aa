package barleyfall.catalog.replica;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;

/** What replicas say to each other and keep, in CBOR (RFC 8949). */
final class Codec {
    /** A key that is not known is of a later version: what cannot be carried out alike must not be at all. */
    static final ObjectMapper CBOR =
        new CBORMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Codec() { }

    static byte[] bytes(Object value) {
        try {
            return CBOR.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of our own", e);
        }
    }

    static Message message(Object value) {
        return Message.valueOf(UnsafeByteOperations.unsafeWrap(bytes(value)));
    }

    static <T> T read(ByteString from, Class<T> type) throws IOException {
        return CBOR.readValue(from.newInput(), type);
    }
}
