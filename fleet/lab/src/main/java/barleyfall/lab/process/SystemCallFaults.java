package barleyfall.lab.process;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Makes system calls of one process fail while it runs, by a small C library that is loaded into the process
 * with LD_PRELOAD. The library is compiled on first use, so a C compiler is needed. Both sides share a mapped
 * file: the lab writes which calls fail and how often, and the library counts what it has injected.
 */
public final class SystemCallFaults {
    /** The kinds of calls; the order is that of the enum in the C library. */
    public enum Call { SOCKET, CONNECT, ACCEPT, READ, WRITE, WAIT, OPEN, SYNC, UNLINK, LIST }

    /** A short transfer, or the error with which a call fails; the order is that of the C library. */
    public enum Effect {
        SHORT, EINTR, ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT,
        EHOSTUNREACH, ENOSPC, EIO
    }

    /** One kind of fault: the given fraction of the calls has the effect. */
    public record Rule(Call call, Effect effect, double fraction) {
        /** Stands between the rules of a text with several. */
        public static final String SEPARATOR = ";";

        /** Parses rules with separators between them. */
        public static List<Rule> parseAll(String text) {
            return Stream.of(text.split(SEPARATOR)).map(Rule::parse).toList();
        }

        /** Parses a text such as {@code accept ENFILE 20%}; throws IllegalArgumentException. */
        public static Rule parse(String text) {
            String[] words = text.strip().split("\\s+");
            if (words.length != 3 || !words[2].matches("\\d+(\\.\\d+)?%")) {
                throw new IllegalArgumentException("CALL EFFECT PERCENT% expected, found \"" + text + "\"");
            }
            double percent = Double.parseDouble(words[2].substring(0, words[2].length() - 1));
            if (percent > 100) {
                throw new IllegalArgumentException("more than 100% in \"" + text + "\"");
            }
            return new Rule(find(Call.values(), words[0], text), find(Effect.values(), words[1], text),
                percent / 100);
        }

        private static <E extends Enum<E>> E find(E[] values, String name, String text) {
            return Stream.of(values).filter(value -> value.name().equalsIgnoreCase(name)).findFirst()
                .orElseThrow(() -> new IllegalArgumentException("\"" + name + "\" in \"" + text
                    + "\" is none of " + Stream.of(values)
                        .map(value -> value.name().toLowerCase(Locale.ROOT)).toList()));
        }
    }

    private static final String SOURCE = "system_call_faults.c";
    private static final int COMPILE_TIMEOUT_SECONDS = 60;
    /** Layout of the shared file, in 64-bit words: the clock's offset, the seed, and two tables. */
    private static final int CLOCK_WORD = 0;
    private static final int SEED_WORD = 1;
    private static final int FRACTION_WORD = 2;
    private static final int TABLE_WORDS = Call.values().length * Effect.values().length;
    private static final int INJECTED_WORD = FRACTION_WORD + TABLE_WORDS;
    private static final int TOTAL_BYTES = (INJECTED_WORD + TABLE_WORDS) * Long.BYTES;
    private static final double MILLION = 1e6;

    private static Path library;

    private final Path file;
    private final String affectedFiles;
    private final MappedByteBuffer shared;

    /**
     * Creates the shared file, with no fault in it.
     *
     * @param seed seed of the choice of the calls that fail
     * @param affectedFiles texts, separated by colons; a file whose path contains one of them is affected
     */
    public SystemCallFaults(Path file, long seed, String affectedFiles) throws IOException {
        this.file = file;
        this.affectedFiles = affectedFiles;
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
            StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, TOTAL_BYTES);
        }
        shared.order(ByteOrder.nativeOrder());
        putWord(SEED_WORD, seed);
    }

    /** Whether the library can be built here: that takes a C compiler. */
    public static boolean isAvailable() {
        try {
            return new ProcessBuilder("cc", "--version").redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor() == 0;
        } catch (IOException noCompiler) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the environment with which the process has to be started. */
    public Map<String, String> environment() throws IOException {
        return Map.of("LD_PRELOAD", library().toString(), "SYSTEM_CALL_FAULTS",
            file.toAbsolutePath().toString(), "SYSTEM_CALL_FAULT_FILES", affectedFiles);
    }

    /** Begins a kind of fault, or changes its fraction. */
    public void begin(Rule rule) {
        putWord(FRACTION_WORD + index(rule.call(), rule.effect()), Math.round(rule.fraction() * MILLION));
    }

    /** Ends a kind of fault. */
    public void end(Rule rule) {
        begin(new Rule(rule.call(), rule.effect(), 0));
    }

    /** Steps the wall clock of the process, which shows this much more than the machine's. */
    public void setWallClockOffsetMs(long offsetMs) {
        putWord(CLOCK_WORD, offsetMs);
    }

    /** Returns how often a call has had an effect so far. */
    public long injectedCount(Call call, Effect effect) {
        return shared.getLong((INJECTED_WORD + index(call, effect)) * Long.BYTES);
    }

    /** Returns how many faults were injected so far, of all kinds. */
    public long injectedCount() {
        long total = 0;
        for (int word = INJECTED_WORD; word < INJECTED_WORD + TABLE_WORDS; word++) {
            total += shared.getLong(word * Long.BYTES);
        }
        return total;
    }

    private static int index(Call call, Effect effect) {
        return call.ordinal() * Effect.values().length + effect.ordinal();
    }

    private void putWord(int word, long value) {
        shared.putLong(word * Long.BYTES, value);
    }

    /** Compiles the library; it is removed when the lab ends. */
    private static synchronized Path library() throws IOException {
        if (library != null) {
            return library;
        }
        Path folder = Files.createTempDirectory("system-call-faults");
        Path source = folder.resolve(SOURCE);
        Path compiled = folder.resolve("system_call_faults.so");
        Stream.of(folder, source, compiled).forEach(path -> path.toFile().deleteOnExit());
        try (InputStream text = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(text, source);
        }
        Process compiler = new ProcessBuilder("cc", "-std=gnu11", "-O2", "-Wall", "-Wextra", "-Werror",
            "-shared", "-fPIC", "-o", compiled.toString(), source.toString(), "-ldl")
            .redirectErrorStream(true).start();
        try {
            String output = new String(compiler.getInputStream().readAllBytes());
            if (!compiler.waitFor(COMPILE_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                compiler.destroyForcibly();
                throw new IOException("cannot compile " + SOURCE + ": " + output);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while compiling " + SOURCE, e);
        }
        library = compiled;
        return compiled;
    }
}
