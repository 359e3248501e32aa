package barleyfall.common.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a TOML file while it is read. Every key that the reader asks for becomes known; at the end, all
 * other keys are reported as unknown. Mistakes are collected rather than thrown, so that one reading reports
 * all of them. After a mistake, methods return the default or some other valid value.
 */
public final class Table {
    private final String file;
    private final String path;
    private final TomlTable table;
    private final int line;
    private final List<String> problems;
    private final Set<String> knownKeys = new TreeSet<>();
    private final List<Table> nested = new ArrayList<>();

    private Table(String file, String path, TomlTable table, int line, List<String> problems) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.line = line;
        this.problems = problems;
    }

    /** The line of the file at which the table starts. */
    public int line() {
        return line;
    }

    /**
     * Reads a TOML file.
     *
     * @param file the name of the file, for messages only
     * @param text its content
     * @param reader reads the root table
     * @throws InvalidFileException if there is any mistake, unknown keys included
     */
    public static <T> T read(String file, String text, Function<Table, T> reader)
        throws InvalidFileException {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            throw new InvalidFileException(parsed.errors().stream()
                .map(error -> file + ":" + error.position().line() + ": " + error.getMessage()).toList());
        }
        Table root = new Table(file, "", parsed, 1, new ArrayList<>());
        T result = reader.apply(root);
        root.rejectUnknownKeys();
        if (!root.problems.isEmpty()) {
            throw new InvalidFileException(root.problems);
        }
        return result;
    }

    /** Reports a mistake, at a key of this table or, if the key is absent, at the table itself. */
    public void addProblem(String key, String message) {
        problems.add(file + ":" + lineOf(key) + ": " + (path.isEmpty() ? "" : path + ".") + key + ": "
            + message);
    }

    private int lineOf(String key) {
        TomlPosition position = table.isEmpty() ? null : table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** Whether the table has a key. */
    public boolean has(String key) {
        knownKeys.add(key);
        return table.contains(List.of(key));
    }

    private Object get(String key) {
        knownKeys.add(key);
        return table.get(List.of(key));
    }

    /** A value of a kind, in the unit of the kind; the default if the key is absent. */
    public double number(String key, Units.Kind kind, double defaultValue) {
        Object value = get(key);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Units.read(value, kind);
        } catch (IllegalArgumentException invalid) {
            addProblem(key, invalid.getMessage());
            return defaultValue;
        }
    }

    /** A value of a kind that must be present. */
    public double requiredNumber(String key, Units.Kind kind) {
        if (!has(key)) {
            addProblem(key, "is missing");
            return 0;
        }
        return number(key, kind, 0);
    }

    /** An integer within bounds; the default if the key is absent. */
    public int integer(String key, int defaultValue, int min, int max) {
        double number = number(key, Units.Kind.NUMBER, defaultValue);
        if (number != Math.rint(number) || number < min || number > max) {
            addProblem(key, "a whole number from " + min + " to " + max + " expected, found " + number);
            return defaultValue;
        }
        return (int) number;
    }

    /** A boolean; the default if the key is absent. */
    public boolean bool(String key, boolean defaultValue) {
        Object value = get(key);
        if (value != null && !(value instanceof Boolean)) {
            addProblem(key, "true or false expected, found " + value);
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** A string; the default, which may be null, if the key is absent. */
    public String string(String key, String defaultValue) {
        Object value = get(key);
        if (value != null && !(value instanceof String)) {
            addProblem(key, "a string expected, found " + value);
            return defaultValue;
        }
        return value == null ? defaultValue : (String) value;
    }

    /** One of several strings; must be present if the default is null. */
    public String oneOf(String key, String defaultValue, Set<String> allowed) {
        String value = string(key, defaultValue);
        if (value == null) {
            addProblem(key, "is missing, one of " + new TreeSet<>(allowed));
            return "";
        }
        if (!allowed.contains(value)) {
            addProblem(key, "one of " + new TreeSet<>(allowed) + " expected, found \"" + value + "\"");
        }
        return value;
    }

    /** A list of distinct strings; the default if the key is absent. */
    public List<String> strings(String key, List<String> defaultValue) {
        Object value = get(key);
        if (value == null) {
            return defaultValue;
        }
        List<String> strings = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                if (element instanceof String string && !strings.contains(string)) {
                    strings.add(string);
                } else {
                    addProblem(key, "distinct strings expected, found " + element);
                }
            }
        } else {
            addProblem(key, "a list of strings expected");
        }
        return strings;
    }

    /** One value, or a list of two with the lower one first; the default if the key is absent. */
    public Range range(String key, Units.Kind kind, double from, double to) {
        Object value = get(key);
        if (value == null) {
            return new Range(from, to);
        }
        try {
            if (value instanceof TomlArray array) {
                if (array.size() != 2) {
                    throw new IllegalArgumentException("two values expected, the lower one first");
                }
                double low = Units.read(array.get(0), kind);
                double high = Units.read(array.get(1), kind);
                if (low > high) {
                    throw new IllegalArgumentException("the first value is greater than the second");
                }
                return new Range(low, high);
            }
            double single = Units.read(value, kind);
            return new Range(single, single);
        } catch (IllegalArgumentException invalid) {
            addProblem(key, invalid.getMessage());
            return new Range(from, to);
        }
    }

    /** A nested table; an empty one if the key is absent. */
    public Table table(String key) {
        Object value = get(key);
        if (value != null && !(value instanceof TomlTable)) {
            addProblem(key, "a table expected");
        }
        TomlTable content = value instanceof TomlTable present ? present : Toml.parse("");
        return addNested(
            new Table(file, qualified(key), content, value == null ? line : lineOf(key), problems));
    }

    /** An array of tables, {@code [[key]]}; empty if the key is absent. */
    public List<Table> tables(String key) {
        List<Table> tables = new ArrayList<>();
        Object value = get(key);
        if (value instanceof TomlArray array
            && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                tables.add(addNested(new Table(file, qualified(key) + "[" + i + "]", array.getTable(i),
                    array.inputPositionOf(i).line(), problems)));
            }
        } else if (value != null) {
            addProblem(key, "[[" + key + "]] tables expected");
        }
        return tables;
    }

    /** A nested table whose values are all lists of distinct strings. */
    public Map<String, List<String>> stringLists(String key) {
        Table parent = table(key);
        Map<String, List<String>> lists = new LinkedHashMap<>();
        parent.table.keySet().forEach(name -> lists.put(name, parent.strings(name, List.of())));
        return lists;
    }

    /** The full name of a key, for messages. */
    private String qualified(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private Table addNested(Table table) {
        nested.add(table);
        return table;
    }

    /** Reports every key that was never asked for, in this table and in nested ones. */
    private void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                addProblem(key, "no such key; known here: " + knownKeys);
            }
        }
        nested.forEach(Table::rejectUnknownKeys);
    }
}
