package barleyfall.catalog.http;

import barleyfall.catalog.model.Member;
import barleyfall.catalog.model.Page;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes the list in the JSON form of the platform's discovery protocol. The keys {@code epoch}, {@code
 * region} and each member's {@code seq} are additions of this service.
 */
final class Json {
    static final JsonMapper MAPPER = JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private Json() { }

    /** The JSON form of a page of the list. */
    static ObjectNode of(Page page) {
        ObjectNode root = MAPPER.createObjectNode().put("seq", page.seq()).put("whole", page.whole())
            .put("epoch", page.epoch());
        ArrayNode hosts = root.putArray("hosts");
        for (Member member : page.members()) {
            hosts.addObject().put("host", member.host()).put("dial", member.spec().dial())
                .put("site", member.spec().site()).put("region", member.spec().region())
                .put("class", member.spec().kind()).put("block", member.spec().block())
                .put("health", member.health().wireName()).put("share", member.spec().share())
                .put("born_ms", member.spec().bornMs()).put("seq", member.seq());
        }
        return root;
    }

    /** The JSON text of a tree, in UTF-8. */
    static byte[] bytes(ObjectNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be serialized", e);
        }
    }
}
