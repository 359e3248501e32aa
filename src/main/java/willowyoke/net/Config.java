package willowyoke.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import willowyoke.Gateway;
import willowyoke.SettingsReader;

/**
 * The configuration of an edge node, read from a JSON file and from environment variables.
 *
 * @param name the name of this edge node
 * @param listenAddress where clients connect
 * @param discoveryAddresses one address of discovery, or those of the replicas of one list service
 * @param counterAddress the shared counter, or null where there is none
 * @param controlAddress where the node answers its operators, or null where it doesn't
 * @param inheritsListener whether the listening socket is open already, as file descriptor 0
 * @param sharedDirectory a directory that the process which replaces this one uses too, or null
 * @param seed the seed of the random choices
 * @param maxSockets how many sockets the node may hold
 * @param memoryMb how much memory the node may take, in MiB
 * @param initialMembers the list of flag servers to start with, or null where the file has none
 * @param settings the settings of the decision module
 * @param keepAliveMs how long the flag servers keep an idle connection open
 * @param connectTimeoutMs how long a connect to a flag server may take
 * @param json the file as it was read
 */
public record Config(String name, InetSocketAddress listenAddress, List<InetSocketAddress> discoveryAddresses,
    InetSocketAddress counterAddress, InetSocketAddress controlAddress, boolean inheritsListener,
    Path sharedDirectory, long seed, int maxSockets, int memoryMb, JsonNode initialMembers,
    Gateway.Settings settings, double keepAliveMs, double connectTimeoutMs, JsonNode json) {

    /** Parses configuration files and discovery's messages; text behind the JSON value is an error. */
    static final ObjectMapper JSON =
        new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    /** Keys that are used at the start only, so that a file that is reloaded may leave them out. */
    private static final Set<String> START_ONLY_KEYS = Set.of("known", "seed");
    /** How long after a failed read of the file the next one is tried, and for how long in all. */
    private static final long READ_RETRY_DELAY_MS = 20;
    private static final long READ_RETRY_TIME_MS = 2000;
    private static final double DEFAULT_KEEP_ALIVE_MS = 15_000;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final int DEFAULT_MAX_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;

    /** Reads the file that EDGE_CONFIG names; the other variables take precedence over its values. */
    public static Config fromEnvironment(Map<String, String> env) throws IOException {
        return of(readFile(env), env);
    }

    /**
     * Reads the file that EDGE_CONFIG names, as it is now. Tries again for a while where it cannot be read;
     * throws at once where it holds no JSON.
     */
    public static JsonNode readFile(Map<String, String> env) throws IOException {
        String file = env.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("EDGE_CONFIG is not set");
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_RETRY_TIME_MS);
        while (true) {
            try {
                return JSON.readTree(new File(file));
            } catch (JsonProcessingException e) {
                throw e;
            } catch (IOException e) {
                if (System.nanoTime() > endNanos) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(READ_RETRY_DELAY_MS));
            }
        }
    }

    /**
     * The configuration after its file was replaced. The addresses in the new file take precedence over the
     * environment variables, as they are newer. Throws IllegalArgumentException where the new file is
     * incomplete: nothing of such a file may take effect.
     */
    Config reloaded(JsonNode changed) {
        requireSameKeys("", json, changed);
        requirePositive(changed.path("settings").path("limits"), "send_cap");
        changed.path("settings").path("request_classes")
            .forEach(requestClass -> requirePositive(requestClass, "hard_limit"));
        return of(changed, Map.of());
    }

    /**
     * Requires each key of the present file in the new one, with a value of the same JSON type. In an array
     * of objects, each new element needs the keys that all present elements have.
     */
    private static void requireSameKeys(String path, JsonNode present, JsonNode changed) {
        if (present.getNodeType() != changed.getNodeType()) {
            throw new IllegalArgumentException(
                (path.isEmpty() ? "the file" : path) + " is missing or not of type " + present.getNodeType());
        }
        if (present.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            present.properties().stream().filter(entry -> !START_ONLY_KEYS.contains(prefix + entry.getKey()))
                .forEach(entry -> requireSameKeys(prefix + entry.getKey(), entry.getValue(),
                    changed.path(entry.getKey())));
        } else if (present.isArray() && present.path(0).isObject()) {
            if (changed.isEmpty()) {
                throw new IllegalArgumentException("'" + path + "' is empty");
            }
            ObjectNode common = present.get(0).deepCopy();
            present.forEach(element -> common.retain(keysOf(element)));
            changed.forEach(element -> requireSameKeys(path + "[]", common, element));
        }
    }

    private static List<String> keysOf(JsonNode object) {
        List<String> keys = new ArrayList<>();
        object.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    private static void requirePositive(JsonNode object, String key) {
        if (!(object.path(key).asDouble() > 0)) {
            throw new IllegalArgumentException("'" + key + "' is not a positive number");
        }
    }

    /**
     * Reads a configuration from a parsed file and environment variables. Throws IllegalArgumentException
     * with the key that is missing or malformed, and why.
     */
    static Config of(JsonNode json, Map<String, String> env) {
        try {
            return read(json, env);
        } catch (SettingsReader.InvalidSettingException e) {
            throw new IllegalArgumentException("'settings." + e.key + "': " + e.getMessage(), e);
        }
    }

    private static Config read(JsonNode json, Map<String, String> env) {
        Map<String, String> settings = new HashMap<>();
        flatten("", json.path("settings"), settings);
        double keepAliveMs = SettingsReader.numberOrZero(settings, "limits.keepalive");
        double connectTimeoutMs = SettingsReader.numberOrZero(settings, "limits.connect_timeout");
        String counter = json.path("counter").asText("");
        String control = env.getOrDefault("EDGE_CONTROL", json.path("control").asText(""));
        return new Config(requireText(env, "EDGE_NAME", json, "name"),
            parseAddress(requireText(env, "EDGE_LISTEN", json, "listen")),
            parseAddresses(env.get("EDGE_DISCOVERY"), json.path("discovery")),
            counter.isEmpty() ? null : parseAddress(counter),
            control.isEmpty() ? null : parseAddress(control),
            isListenerInherited(env.getOrDefault("EDGE_SOCKET_FD", "")),
            env.containsKey("TMPDIR") ? Path.of(env.get("TMPDIR")) : null,
            parseSeed(json.path("seed").asText("0")),
            json.path("limits").path("sockets").asInt(DEFAULT_MAX_SOCKETS),
            json.path("limits").path("memory_mb").asInt(DEFAULT_MEMORY_MB),
            json.hasNonNull("known") ? json.get("known") : null, SettingsReader.read(settings),
            keepAliveMs > 0 ? keepAliveMs : DEFAULT_KEEP_ALIVE_MS,
            connectTimeoutMs > 0 ? connectTimeoutMs : DEFAULT_CONNECT_TIMEOUT_MS,
            json);
    }

    private static boolean isListenerInherited(String descriptor) {
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new IllegalArgumentException("EDGE_SOCKET_FD: only 0 can be inherited");
        }
        return !descriptor.isEmpty();
    }

    /** The value of a variable or, where it is not set, of a key of the file; one of them must be there. */
    private static String requireText(Map<String, String> env, String variable, JsonNode json, String key) {
        String value = env.getOrDefault(variable, json.path(key).asText(""));
        if (value.isEmpty()) {
            throw new IllegalArgumentException("neither " + variable + " nor '" + key + "' is set");
        }
        return value;
    }

    /** Reads the comma-separated addresses of the variable, or else the address or addresses of the file. */
    private static List<InetSocketAddress> parseAddresses(String variable, JsonNode json) {
        List<String> texts = new ArrayList<>();
        if (variable != null && !variable.isEmpty()) {
            texts.addAll(List.of(variable.split(",")));
        } else if (json.isArray()) {
            json.forEach(element -> texts.add(element.asText()));
        } else if (!json.asText("").isEmpty()) {
            texts.add(json.asText());
        }
        if (texts.isEmpty()) {
            throw new IllegalArgumentException("neither EDGE_DISCOVERY nor 'discovery' is set");
        }
        return texts.stream().map(Config::parseAddress).distinct().toList();
    }

    /** Parses a hexadecimal seed; any other text is hashed. */
    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    /** Parses "address:port". Hosts are numeric addresses, as there is no DNS. */
    static InetSocketAddress parseAddress(String addressAndPort) {
        int colon = addressAndPort.lastIndexOf(':');
        try {
            return new InetSocketAddress(addressAndPort.substring(0, colon),
                Integer.parseInt(addressAndPort.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new IllegalArgumentException("address:port expected, found '" + addressAndPort + "'");
        }
    }

    /**
     * Flattens JSON settings into the form of the simulator's wire: each value under its path, with the
     * elements of arrays of plain values joined by commas. An array of objects becomes a key "count" and the
     * index of each element in the path of its keys.
     */
    private static void flatten(String path, JsonNode json, Map<String, String> settings) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (json.isObject()) {
            json.properties().forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), settings));
        } else if (json.isArray() && json.size() > 0 && json.get(0).isContainerNode()) {
            settings.put(prefix + "count", Integer.toString(json.size()));
            for (int i = 0; i < json.size(); i++) {
                flatten(prefix + i, json.get(i), settings);
            }
        } else if (json.isArray()) {
            StringJoiner values = new StringJoiner(",");
            json.forEach(element -> values.add(element.asText()));
            settings.put(path, values.toString());
        } else if (!json.isNull()) {
            settings.put(path, json.asText());
        }
    }
}
