package willowyoke.net;

import io.netty.buffer.PooledByteBufAllocator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import willowyoke.Gateway;
import willowyoke.MemoryPolicy.Use;

/** Counters of this process since its start, reported on the control address. */
final class Metrics {
    private static final String PREFIX = "node_";

    /** Answered requests of one request class. */
    private static final class ClassCounters {
        long served;
        long refused;
        long failed;
    }

    private final Map<String, ClassCounters> countersByClass = new TreeMap<>();
    private long attempts;
    private long reloadsOk;
    private long reloadsFailed;
    /** Messages of flag servers that no request has asked for. */
    private long surplusAnswers;
    /** Clients' connections that this node has ended, by the reason. */
    private final Map<ClientConnection.EndReason, Long> clientEnds =
        new EnumMap<>(ClientConnection.EndReason.class);
    /** Ends that were put off, as a command had come since the last poll. */
    private long clientEndsPutOff;
    /** Bytes that came behind the end of a client's connection, and were read with its close. */
    private long bytesBehindEnd;
    /** Commands that were lost behind a value that broke when the client had a part of it. */
    private long commandsBehindBrokenValue;
    /** The longest time between a poll and an end that followed it. */
    private double maxPollAgeAtEndMs;
    /** System calls that failed for a reason of this machine, by the name of the call. */
    private final Map<String, Long> localFailures = new TreeMap<>();

    /** Adds the request classes of new settings; classes that were removed keep their counters. */
    void addClasses(List<Gateway.RequestClass> classes) {
        classes.forEach(c -> countersByClass.computeIfAbsent(c.name(), name -> new ClassCounters()));
    }

    /** Requests of a class that no settings name are not counted: a client may send any name. */
    private ClassCounters of(String requestClass) {
        return countersByClass.getOrDefault(requestClass, new ClassCounters());
    }

    /** Counts a request that was answered with a value. */
    void countServed(String requestClass) {
        of(requestClass).served++;
    }

    /** Counts a request that was refused as busy. */
    void countRefused(String requestClass) {
        of(requestClass).refused++;
    }

    /** Counts a request that failed. */
    void countFailed(String requestClass) {
        of(requestClass).failed++;
    }

    /** Counts an attempt that was written whole to a flag server. */
    void countAttempt() {
        attempts++;
    }

    /** Counts a reload of the configuration. */
    void countReload(boolean applied) {
        if (applied) {
            reloadsOk++;
        } else {
            reloadsFailed++;
        }
    }

    /** Counts a message of a flag server that no request has asked for. */
    void countSurplusAnswer() {
        surplusAnswers++;
    }

    /** Counts a client's connection that this node ends, so long after the last poll. */
    void countClientEnd(ClientConnection.EndReason reason, double pollAgeMs) {
        clientEnds.merge(reason, 1L, Long::sum);
        maxPollAgeAtEndMs = Math.max(maxPollAgeAtEndMs, pollAgeMs);
    }

    /** Counts an end that is put off, as a command has come since the last poll. */
    void countClientEndPutOff() {
        clientEndsPutOff++;
    }

    /** Counts bytes that a client has sent behind the end of its connection. */
    void countBytesBehindEnd(int bytes) {
        bytesBehindEnd += bytes;
    }

    /** Counts commands that were lost behind a value that broke when the client had a part of it. */
    void countCommandsBehindBrokenValue(int count) {
        commandsBehindBrokenValue += count;
    }

    /** Counts a system call that failed for a reason of this machine. */
    void countLocalFailure(String call) {
        localFailures.merge(call, 1L, Long::sum);
    }

    /** Returns all metrics in the text format of Prometheus, one line each. */
    String prometheusText(int inFlight, int knownServers, int excludedServers, MemoryBudget memory,
        Invariants invariants) {
        StringBuilder text = new StringBuilder();
        countersByClass.forEach((name, counters) -> {
            String label = "{class=\"" + name.replace("\\", "\\\\").replace("\"", "\\\"") + "\"}";
            appendLine(text, "served_total" + label, counters.served);
            appendLine(text, "refused_total" + label, counters.refused);
            appendLine(text, "failed_total" + label, counters.failed);
        });
        appendLine(text, "attempts_total", attempts);
        appendLine(text, "in_flight", inFlight);
        appendLine(text, "flag_servers_known", knownServers);
        appendLine(text, "flag_servers_excluded", excludedServers);
        appendLine(text, "reloads_ok_total", reloadsOk);
        appendLine(text, "reloads_failed_total", reloadsFailed);
        appendLine(text, "surplus_answers_total", surplusAnswers);
        clientEnds.forEach((reason, count) -> appendLine(text,
            "client_ends_total{reason=\"" + reason.name().toLowerCase(Locale.ROOT) + "\"}", count));
        appendLine(text, "client_ends_put_off_total", clientEndsPutOff);
        appendLine(text, "client_bytes_behind_end_total", bytesBehindEnd);
        appendLine(text, "client_commands_behind_broken_value_total", commandsBehindBrokenValue);
        appendLine(text, "client_end_poll_age_max_ms", Math.round(maxPollAgeAtEndMs));
        localFailures.forEach((call, count) ->
            appendLine(text, "local_failures_total{call=\"" + call + "\"}", count));
        appendMemory(text, memory);
        invariants.violationCounts().forEach((name, count) ->
            appendLine(text, "invariant_violations_total{invariant=\"" + name + "\"}", count));
        return text.toString();
    }

    private static void appendMemory(StringBuilder text, MemoryBudget memory) {
        memory.heldBytes().forEach((use, bytes) -> appendLine(text, "memory_held_bytes" + label(use), bytes));
        appendLine(text, "memory_pool_used_bytes", memory.usedPoolBytes());
        appendLine(text, "memory_pool_size_bytes", memory.poolBytes());
        appendLine(text, "memory_direct_bytes", PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory());
        memory.refusedCounts().forEach((use, count) ->
            appendLine(text, "memory_refused_total" + label(use), count));
        memory.givenUpCounts().forEach((use, count) ->
            appendLine(text, "memory_given_up_total" + label(use), count));
    }

    private static String label(Use use) {
        return "{use=\"" + use.name().toLowerCase(Locale.ROOT) + "\"}";
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
