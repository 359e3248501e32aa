package barleyfall.lab.catalog;

import barleyfall.catalog.client.CatalogClient;
import barleyfall.lab.history.Operation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** One client of a trial: writes members, partly with compare-and-set, and reads them through the leader. */
final class RegisterClient implements Runnable {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    /** From this HTTP status on, a write may have been applied. */
    private static final int FIRST_UNKNOWN_STATUS = 500;
    private static final int LEASE_MS = 60_000;

    private final int number;
    private final CatalogClient client;
    private final List<String> keys;
    private final SplittableRandom random;
    private final AtomicInteger lastValue;
    private final BooleanSupplier stopRequested;
    private final List<Operation> history = new ArrayList<>();
    private final Map<String, Long> knownVersions = new HashMap<>();
    private final AtomicInteger appliedWriteCount = new AtomicInteger();
    private String unexpectedRefusal;

    RegisterClient(int number, List<String> replicas, List<String> keys, long seed, AtomicInteger lastValue,
        BooleanSupplier stopRequested) {
        this.number = number;
        client = new CatalogClient(replicas, REQUEST_TIMEOUT);
        this.keys = keys;
        random = new SplittableRandom(seed);
        this.lastValue = lastValue;
        this.stopRequested = stopRequested;
    }

    @Override public void run() {
        while (!stopRequested.getAsBoolean()) {
            String key = keys.get(random.nextInt(keys.size()));
            if (random.nextDouble() < 0.6) {
                write(key, random.nextDouble() < 0.3 ? null : knownVersions.getOrDefault(key, 0L));
            } else {
                read(key);
            }
        }
    }

    /** Returns the error of a valid write that the service refused, or null. */
    String unexpectedRefusal() {
        return unexpectedRefusal;
    }

    /** Returns how many of its writes are known to be applied so far; may be called while it runs. */
    int appliedWriteCount() {
        return appliedWriteCount.get();
    }

    /** Returns the operations of this client; complete once it has stopped. */
    List<Operation> history() {
        return history;
    }

    private void write(String key, Long expectedVersion) {
        int value = lastValue.incrementAndGet();
        ObjectNode body = CatalogClient.newBody().put("host", key).put("dial", "127.0.0.1:1").put("site", "a")
            .put("block", value).put("born_ms", 1).put("lease_ms", LEASE_MS).put("instance", "trial");
        if (expectedVersion != null) {
            body.put("expect", expectedVersion);
        }
        long invokedNanos = System.nanoTime();
        try {
            CatalogClient.Response response = client.post("register", body);
            long completedNanos = System.nanoTime();
            long version = response.body().path("member").asLong();
            if (response.status() == 200 || response.status() == 409) {
                knownVersions.put(key, version);
                history.add(new Operation(number, key, invokedNanos, completedNanos, true, expectedVersion,
                    value, response.isOk(), version));
                if (response.isOk()) {
                    appliedWriteCount.incrementAndGet();
                }
                return;
            }
            if (response.status() < FIRST_UNKNOWN_STATUS) {
                unexpectedRefusal = response.error();
                return;
            }
        } catch (ConnectException neverSent) {
            return;
        } catch (IOException unknown) {
            // recorded below, as it may have been applied
        }
        history.add(new Operation(number, key, invokedNanos, Long.MAX_VALUE, true, expectedVersion, value,
            true, 0));
    }

    private void read(String key) {
        long invokedNanos = System.nanoTime();
        try {
            CatalogClient.Response response = client.get("members?fresh=1");
            long completedNanos = System.nanoTime();
            if (!response.isOk()) {
                return;
            }
            long version = 0;
            int value = 0;
            for (JsonNode member : response.body().path("hosts")) {
                if (member.path("host").asText().equals(key)) {
                    version = member.path("seq").asLong();
                    value = member.path("block").asInt();
                }
            }
            knownVersions.put(key, version);
            history.add(new Operation(number, key, invokedNanos, completedNanos, false, null, value, true,
                version));
        } catch (IOException notRead) {
            // a failed read proves nothing and is not recorded
        }
    }
}
