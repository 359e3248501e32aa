package willowyoke;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings of a gateway from a map of dotted keys to texts. Both hosts provide them in this form:
 * the simulator over its protocol, and the edge node from its configuration file.
 */
public final class SettingsReader {
    /** Thrown for a setting that is missing or malformed. */
    public static final class InvalidSettingException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        /** The dotted key of the setting. */
        public final String key;

        InvalidSettingException(String key, String message) {
            super(message);
            this.key = key;
        }
    }

    /** The shortest tick, also where none is set: a wait of one tick must not be a wait of no time. */
    private static final double MIN_TICK_MS = 1;

    private final Map<String, String> textByKey;

    private SettingsReader(Map<String, String> textByKey) {
        this.textByKey = textByKey;
    }

    /**
     * Returns the settings in the map. The length of a list of objects is at its key followed by
     * {@code .count}; keys that are not known here are ignored.
     *
     * @throws InvalidSettingException if a setting is missing or malformed
     */
    public static Gateway.Settings read(Map<String, String> textByKey) {
        SettingsReader reader = new SettingsReader(textByKey);
        List<Gateway.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < reader.number("request_classes.count"); i++) {
            String prefix = "request_classes." + i + ".";
            Gateway.Effect effect = switch (reader.requiredText(prefix + "effect")) {
                case "read_like" -> Gateway.Effect.SAFE;
                case "idempotency_key" -> Gateway.Effect.IDEMPOTENCY_KEY;
                case "non_idempotent" -> Gateway.Effect.NON_IDEMPOTENT;
                default -> throw new InvalidSettingException(prefix + "effect", "unknown effect");
            };
            Gateway.Group group = switch (reader.textOr(prefix + "group", "cell")) {
                case "all" -> Gateway.Group.ALL;
                case "zone" -> Gateway.Group.ZONE;
                default -> Gateway.Group.CELL;
            };
            classes.add(new Gateway.RequestClass(
                reader.requiredText(prefix + "name"),
                effect,
                group,
                reader.positiveNumber(prefix + "aim"),
                reader.positiveNumber(prefix + "hard_limit"),
                reader.number(prefix + "worth"),
                reader.number(prefix + "late_share"),
                reader.number(prefix + "repeat_window"),
                reader.flag(prefix + "stream")));
        }
        List<Gateway.Plan> plans = new ArrayList<>();
        for (int i = 0; i < reader.number("tariffs.count"); i++) {
            String prefix = "tariffs." + i + ".";
            plans.add(new Gateway.Plan(
                reader.requiredText(prefix + "name"),
                reader.number(prefix + "per_second"),
                reader.number(prefix + "depth"),
                (int) reader.number(prefix + "open"),
                reader.number(prefix + "price"),
                reader.number(prefix + "extra_worth"),
                reader.number(prefix + "over_cost"),
                reader.number(prefix + "hard_rate"),
                reader.number(prefix + "ceiling_burst"),
                reader.number(prefix + "cap_slack")));
        }
        String loadFields = reader.textOr("feedback.fields", "");
        return new Gateway.Settings(
            (int) reader.number("rank"),
            Math.max(1, (int) reader.number("group_size")),
            reader.textOr("my_zone", ""),
            Math.max(MIN_TICK_MS, reader.number("tick")),
            reader.textOr("discovery", "pushed").equals("on_request"),
            reader.flag("family_info.trued_up"),
            Math.max(1, (int) reader.number("family_info.most_units")),
            loadFields.isEmpty() ? List.of() : List.of(loadFields.split(",")),
            classes,
            plans,
            new Gateway.Allowed(
                reader.flag("limits.probing"),
                reader.flag("limits.cancelling"),
                reader.flag("limits.parallel_tries"),
                reader.flag("limits.retry_after"),
                reader.flag("limits.peers"),
                reader.flag("family_info.shared_counter"),
                Math.max(1, (int) reader.number("limits.send_cap")),
                reader.number("limits.max_retry_after"),
                reader.number("family_info.count_limit")),
            new Gateway.Rules(
                reader.number("contract.grace_to_answer"),
                reader.number("contract.drain_grace"),
                reader.number("contract.cold_share"),
                reader.number("contract.warm_after"),
                reader.number("contract.overload_factor"),
                reader.number("contract.overload_for")),
            new Gateway.Prices(
                reader.number("prices.waste"),
                reader.number("prices.probe"),
                reader.number("family_info.counter_price"),
                reader.number("prices.cross_zone"),
                reader.number("prices.late_fail")));
    }

    private String textOr(String key, String fallback) {
        return textByKey.getOrDefault(key, fallback);
    }

    private String requiredText(String key) {
        String text = textByKey.get(key);
        if (text == null) {
            throw new InvalidSettingException(key, "missing setting");
        }
        return text;
    }

    /** Returns a number that must be set and be greater than 0. */
    private double positiveNumber(String key) {
        double value = number(key);
        if (!(value > 0)) {
            throw new InvalidSettingException(key,
                "a positive number expected, found '" + textByKey.get(key) + "'");
        }
        return value;
    }

    private double number(String key) {
        return numberOrZero(textByKey, key);
    }

    /**
     * Returns the number at a key, or 0 where there is none.
     *
     * @throws InvalidSettingException if the text is not a finite number
     */
    public static double numberOrZero(Map<String, String> textByKey, String key) {
        String text = textByKey.get(key);
        if (text == null || text.equals("-")) {
            return 0;
        }
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number that is not finite
        }
        throw new InvalidSettingException(key, "number expected, found '" + text + "'");
    }

    private boolean flag(String key) {
        String text = textByKey.getOrDefault(key, "false");
        return text.equals("true") || text.equals("1");
    }
}
