package barleyfall.catalog.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads the JSON body of a request. Each value is checked for its type and bounds; keys that nobody asked for
 * are rejected at the end.
 */
final class RequestBody {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern NAME_OR_EMPTY = Pattern.compile("[A-Za-z0-9._-]{0,64}");
    private static final Pattern ADDRESS = Pattern.compile("[A-Za-z0-9._-]{1,100}:(\\d{1,5})");
    private static final int BAD_REQUEST = 400;

    private final JsonNode root;
    private final Set<String> knownKeys = new TreeSet<>();

    private RequestBody(JsonNode root) {
        this.root = root;
    }

    /** Parses a body, which must be a JSON object. */
    static RequestBody read(byte[] text) throws RequestException {
        JsonNode root;
        try {
            root = Json.MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new RequestException(BAD_REQUEST, null, "the body is not JSON: line "
                + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": "
                + e.getOriginalMessage());
        } catch (IOException e) {
            throw new RequestException(BAD_REQUEST, null, "the body cannot be read: " + e.getMessage());
        }
        if (root == null || !root.isObject()) {
            throw new RequestException(BAD_REQUEST, null, "the body is not a JSON object");
        }
        return new RequestBody(root);
    }

    private JsonNode get(String key) {
        knownKeys.add(key);
        JsonNode value = root.get(key);
        return value == null || value.isNull() ? null : value;
    }

    /** A string of a given form; {@code expected} describes the form. Without a default it is required. */
    private String string(String key, String defaultValue, Pattern form, String expected)
        throws RequestException {
        JsonNode value = get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value == null) {
            throw new RequestException(BAD_REQUEST, key, key + " is missing");
        }
        if (!value.isTextual() || !form.matcher(value.asText()).matches()) {
            String shown = value.toString();
            throw new RequestException(BAD_REQUEST, key, key + ": " + expected + " expected, found "
                + (shown.length() > 100 ? shown.substring(0, 100) + "..." : shown));
        }
        return value.asText();
    }

    /** A required name. */
    String requiredName(String key) throws RequestException {
        return string(key, null, NAME, "1 to 64 letters, digits, dots, dashes and underscores");
    }

    /** A name that may be missing or empty. */
    String optionalName(String key) throws RequestException {
        return string(key, "", NAME_OR_EMPTY, "at most 64 letters, digits, dots, dashes and underscores");
    }

    /** A required address, {@code address:port}. */
    String address(String key) throws RequestException {
        String address = string(key, null, ADDRESS, "address:port");
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        if (port < 1 || port > 65_535) {
            throw new RequestException(BAD_REQUEST, key,
                key + ": a port from 1 to 65535 expected, found " + port);
        }
        return address;
    }

    /** One of several values. */
    String oneOf(String key, String defaultValue, Set<String> values) throws RequestException {
        String value = string(key, defaultValue, NAME_OR_EMPTY, "one of " + new TreeSet<>(values));
        if (!values.contains(value)) {
            throw new RequestException(BAD_REQUEST, key, key + ": one of " + new TreeSet<>(values)
                + " expected, found \"" + value + "\"");
        }
        return value;
    }

    /** An integer within bounds; required if there is no default. */
    long integer(String key, Long defaultValue, long min, long max) throws RequestException {
        JsonNode value = get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
        }
        if (value == null) {
            throw new RequestException(BAD_REQUEST, key, key + " is missing");
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < min
            || value.asLong() > max) {
            throw new RequestException(BAD_REQUEST, key, key + ": a whole number from " + min + " to " + max
                + " expected, found " + value);
        }
        return value.asLong();
    }

    /** The version at which the requester expects the member to be, or null. */
    Long expectedSeq() throws RequestException {
        return get("expect") == null ? null : integer("expect", null, 0, Long.MAX_VALUE);
    }

    /** An optional number within bounds. */
    double number(String key, double defaultValue, double min, double max) throws RequestException {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            throw new RequestException(BAD_REQUEST, key, key + ": a number from " + min + " to " + max
                + " expected, found " + value);
        }
        return value.asDouble();
    }

    /** Rejects keys that have not been asked for. */
    void rejectUnknownKeys() throws RequestException {
        for (Iterator<String> keys = root.fieldNames(); keys.hasNext();) {
            String key = keys.next();
            if (!knownKeys.contains(key)) {
                throw new RequestException(BAD_REQUEST, key,
                    "no such key: " + key + "; known here: " + knownKeys);
            }
        }
    }
}
