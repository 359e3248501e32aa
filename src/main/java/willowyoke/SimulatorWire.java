package willowyoke;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The simulator's text protocol. Reads batches of tab-separated lines, reports them as events to any number
 * of gateway instances, and writes the actions of the instances after each batch. All decisions are made by
 * {@link GatewayPolicy}.
 */
final class SimulatorWire {
    /** Thrown for a malformed line of input; the message names the line and the field. */
    static final class WireFormatException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        WireFormatException(String message) {
            super(message);
        }
    }

    private static final Map<String, Gateway.Outcome> OUTCOME_BY_LETTER = Map.of("S", Gateway.Outcome.OK,
        "E", Gateway.Outcome.ERROR, "F", Gateway.Outcome.BUSY, "T", Gateway.Outcome.TIMEOUT,
        "C", Gateway.Outcome.NO_CONNECTION, "R", Gateway.Outcome.RESET, "X", Gateway.Outcome.CANCELLED,
        "N", Gateway.Outcome.NOT_SENT);
    private static final double[] NO_LOAD_FIGURES = new double[0];

    /** One gateway instance, with the actions of the current batch as lines of text. */
    private static final class Instance implements Gateway.Actions {
        private final StringBuilder reply = new StringBuilder();
        /** The policy module of this instance, null while the instance is down. */
        private Gateway.Events events;

        /** Formats a number with at most three decimals and without an exponent. */
        private static String decimal(double value) {
            return BigDecimal.valueOf(Math.rint(value * 1000) / 1000).toPlainString();
        }

        private StringBuilder append(String text) {
            return reply.append(text);
        }

        @Override public void send(long id, String server, double giveUpAtMs, double writeByMs) {
            append("PLACE\t").append(id).append('\t').append(server).append('\t')
                .append(decimal(giveUpAtMs)).append('\n');
        }

        @Override public void cancel(long id, int attempt) {
            append("DROP_ATTEMPT\t").append(id).append('\t').append(attempt).append('\n');
        }

        @Override public void refuse(long id, double retryAfterMs) {
            append("PUSH_BACK\t").append(id).append('\t').append(decimal(retryAfterMs)).append('\n');
        }

        @Override public void fail(long id) {
            append("GIVE_UP\t").append(id).append('\n');
        }

        @Override public void setTimer(double delayMs, long token) {
            append("WAKE_AT\t").append(decimal(delayMs)).append('\t').append(token).append('\n');
        }

        @Override public void probe(String server) {
            append("ASK_LOAD\t").append(server).append('\n');
        }

        @Override public void addToCounter(long counterId, double amount, double timeToLiveMs) {
            append("ADD_TO\t").append(decimal(amount)).append('\t').append(decimal(timeToLiveMs))
                .append('\t').append(counterId).append('\n');
        }

        @Override public void subscribe() {
            append("WATCH\t1\n");
        }
    }

    private final Map<Integer, Instance> instanceById = new TreeMap<>();
    private long lineNumber;
    /** The fields of the current line; the first one is the type of the message. */
    private String[] fields = new String[0];
    private BufferedReader input;
    private double nowMs;
    /** The instance that the events of the batch are for, null before the first INSTANCE line. */
    private Integer currentId;

    /**
     * Reads batches until the input ends, and writes a reply to each.
     *
     * @throws WireFormatException if a line is malformed
     */
    void run(BufferedReader batches, PrintStream out) throws IOException {
        input = batches;
        for (String line = next(); line != null; line = next()) {
            if (line.isEmpty()) {
                continue;
            }
            splitFields(line);
            if (!fields[0].equals("TURN")) {
                throw malformed("message", "TURN expected, found " + quoted(fields[0]));
            }
            nowMs = number(1, "clock");
            readBatch();
            StringBuilder reply = new StringBuilder();
            for (Map.Entry<Integer, Instance> entry : instanceById.entrySet()) {
                if (entry.getValue().reply.length() > 0) {
                    reply.append("AS\t").append(entry.getKey()).append('\n').append(entry.getValue().reply);
                    entry.getValue().reply.setLength(0);
                }
            }
            out.write(reply.append("END\n").toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /** Reads the lines of a batch up to its GO line. */
    private void readBatch() throws IOException {
        currentId = null;
        while (true) {
            String line = next();
            if (line == null) {
                throw malformed("message", "the input ends inside a batch");
            }
            splitFields(line);
            if (fields[0].equals("GO")) {
                return;
            }
            if (fields[0].equals("INSTANCE")) {
                currentId = (int) integer(1, "instance");
            } else if (currentId == null) {
                throw malformed("message", "INSTANCE expected before " + quoted(fields[0]));
            } else {
                handleEvent(instanceById.computeIfAbsent(currentId, k -> new Instance()));
            }
        }
    }

    /** Handles the event in the current line. */
    private void handleEvent(Instance instance) throws IOException {
        if (fields[0].equals("UP")) {
            instance.reply.setLength(0);
            instance.events = new GatewayPolicy(readSettings(), integer(1, "entropy"), nowMs, instance);
            return;
        }
        if (fields[0].equals("DESTROY")) {
            instance.events = null;
            instance.reply.setLength(0);
            return;
        }
        if (instance.events == null) {
            throw malformed("instance", "instance " + currentId + " has not been started");
        }
        Gateway.Events events = instance.events;
        switch (fields[0]) {
            case "MEMBERSHIP" -> readServerList(events);
            case "ARRIVAL" -> events.requestArrived(nowMs, new Gateway.Request(integer(1, "tid"),
                requiredField(2, "band"), requiredField(3, "tariff"), requiredField(4, "holder"),
                number(5, "remaining"), (int) integer(6, "units"), (int) integer(7, "spread"),
                (int) integer(8, "first_door"), flagField(9, "again_by_client")));
            case "ACK_FIRST" -> events.responseStarted(nowMs, integer(1, "tid"),
                (int) integer(4, "round_no"));
            case "ENDED" -> events.attemptEnded(nowMs, integer(1, "tid"), (int) integer(4, "round_no"),
                outcomeField(5), number(6, "cost_time"), flagField(3, "settled"),
                (int) integerOrZero(8, "actual"), loadFigures(9));
            case "CANCELLED_BY_CLIENT" -> events.requestCancelled(nowMs, integer(1, "tid"));
            case "REMINDER" -> events.timerFired(nowMs, integer(1, "ctx"));
            case "PROBE_RESULT" -> events.probeEnded(nowMs, requiredField(1, "server"), outcomeField(2),
                number(3, "cost_time"), loadFigures(4));
            case "COUNTER_REPLY" -> events.counterCallEnded(nowMs, integer(2, "counter"), outcomeField(1),
                number(3, "cost_time"), numberOrZero(4, "result_value"));
            case "DATAGRAM" -> integer(1, "src");
            default -> throw malformed("message", "unknown event " + quoted(fields[0]));
        }
    }

    /** Reads the ITEM lines that follow the current MEMBERSHIP line. */
    private void readServerList(Gateway.Events events) throws IOException {
        String kind = requiredField(1, "kind");
        if (!List.of("diff", "snapshot", "disk", "error").contains(kind)) {
            throw malformed("kind", "unknown list kind " + quoted(kind));
        }
        integerOrZero(2, "seq_no");
        long count = integerOrZero(3, "items");
        List<Gateway.Server> servers = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = next();
            if (line == null) {
                throw malformed("items", "the input ends inside a list");
            }
            splitFields(line);
            if (!fields[0].equals("ITEM")) {
                throw malformed("message", "ITEM expected, found " + quoted(fields[0]));
            }
            Gateway.ServerState state = switch (requiredField(4, "condition")) {
                case "on" -> Gateway.ServerState.UP;
                case "fading" -> Gateway.ServerState.DRAINING;
                case "off" -> Gateway.ServerState.GONE;
                default -> throw malformed("condition", "unknown condition " + quoted(fields[4]));
            };
            servers.add(new Gateway.Server(requiredField(3, "server"), (int) integerOrZero(1, "pack"),
                requiredField(2, "region_part"), state, requiredField(5, "kind"),
                numberOrZero(6, "start_time"), numberOrZero(7, "units")));
        }
        if (kind.equals("error")) {
            events.discoveryFailed(nowMs);
        } else {
            events.serverListUpdated(nowMs, servers, !kind.equals("diff"));
        }
    }

    /** Returns the settings in the current UP line; unknown keys are ignored. */
    private Gateway.Settings readSettings() {
        Map<String, String> textByKey = new HashMap<>();
        for (int i = 2; i < fields.length; i++) {
            int equalsAt = fields[i].indexOf('=');
            if (equalsAt < 1) {
                throw malformed("env", "path=value expected, found " + quoted(fields[i]));
            }
            textByKey.put(fields[i].substring(0, equalsAt), fields[i].substring(equalsAt + 1));
        }
        try {
            return SettingsReader.read(textByKey);
        } catch (SettingsReader.InvalidSettingException e) {
            throw malformed(e.key, e.getMessage());
        }
    }

    /** Returns the comma-separated load figures in a field, NaN for each that is unknown. */
    private double[] loadFigures(int index) {
        if (index >= fields.length || fields[index].equals("-") || fields[index].isEmpty()) {
            return NO_LOAD_FIGURES;
        }
        String[] figures = fields[index].split(",");
        double[] values = new double[figures.length];
        for (int j = 0; j < figures.length; j++) {
            values[j] = figures[j].equals("-") ? Double.NaN : parseNumber(figures[j], "health_info");
        }
        return values;
    }

    private Gateway.Outcome outcomeField(int index) {
        Gateway.Outcome outcome = OUTCOME_BY_LETTER.get(requiredField(index, "outcome"));
        if (outcome == null) {
            throw malformed("outcome", "unknown outcome " + quoted(fields[index]));
        }
        return outcome;
    }

    /** Returns the next line, or null at the end of the input. */
    private String next() throws IOException {
        lineNumber++;
        return input.readLine();
    }

    /** Splits a line at its tabs, keeping empty fields at its end. */
    private void splitFields(String line) {
        List<String> parts = new ArrayList<>(12);
        int start = 0;
        for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', start)) {
            parts.add(line.substring(start, tab));
            start = tab + 1;
        }
        parts.add(line.substring(start));
        fields = parts.toArray(new String[0]);
    }

    private String requiredField(int index, String fieldName) {
        if (index >= fields.length || fields[index].isEmpty()) {
            throw malformed(fieldName, "missing");
        }
        return fields[index];
    }

    private boolean flagField(int index, String fieldName) {
        String value = requiredField(index, fieldName);
        if (!value.equals("1") && !value.equals("0") && !value.equals("-")) {
            throw malformed(fieldName, "1 or 0 expected, found " + quoted(value));
        }
        return value.equals("1");
    }

    private long integer(int index, String fieldName) {
        String value = requiredField(index, fieldName);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(fieldName, "whole number expected, found " + quoted(value));
        }
    }

    private long integerOrZero(int index, String fieldName) {
        return index >= fields.length || fields[index].equals("-") ? 0 : integer(index, fieldName);
    }

    private double number(int index, String fieldName) {
        return parseNumber(requiredField(index, fieldName), fieldName);
    }

    private double numberOrZero(int index, String fieldName) {
        return index >= fields.length || fields[index].equals("-") ? 0 : number(index, fieldName);
    }

    private double parseNumber(String value, String fieldName) {
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number that is not finite
        }
        throw malformed(fieldName, "number expected, found " + quoted(value));
    }

    private static String quoted(String value) {
        return "'" + (value.length() > 40 ? value.substring(0, 40) + "..." : value) + "'";
    }

    private WireFormatException malformed(String fieldName, String problem) {
        return new WireFormatException("line " + lineNumber + ", field " + fieldName + ": " + problem);
    }
}
