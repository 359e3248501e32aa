package barleyfall.lab.standin;

import barleyfall.lab.plan.Arrival;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * All tries that clients have sent, by their id on the wire. A flag server looks up there how much work a
 * request is and whether it arrived unchanged.
 */
public final class RequestLog {
    /** A try as a client wrote it; an edge node must pass these words on unchanged. */
    public record SentTry(Arrival arrival, int tryNumber, String verb, String customer, String key,
        String body) { }

    private final Map<Long, SentTry> triesById = new ConcurrentHashMap<>();
    private final Map<String, Double> firstSeenMsByKey = new ConcurrentHashMap<>();

    /** Adds a try. */
    void record(long id, SentTry sentTry) {
        triesById.put(id, sentTry);
    }

    /** Returns the try of an id, or null. */
    SentTry byId(long id) {
        return triesById.get(id);
    }

    /**
     * Returns whether a key was first seen less than the window ago. Otherwise it counts as first seen now.
     */
    boolean isRepeat(String key, double nowMs, double windowMs) {
        Double firstSeenMs = firstSeenMsByKey.merge(key, nowMs,
            (earlierMs, laterMs) -> laterMs - earlierMs > windowMs ? laterMs : earlierMs);
        return firstSeenMs != nowMs;
    }
}
