package barleyfall.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads the figures of a process from /proc; they are NaN or -1 if it has ended. */
final class ProcStat {
    /** The kernel reports CPU time in hundredths of a second, independently of its own tick. */
    private static final double TICK_MS = 10;
    private static final double PAGE_MB = 4096 / 1048576.0;
    /** Index of the user time among the fields after the command; the system time follows it. */
    private static final int UTIME_FIELD = 11;

    private ProcStat() { }

    /** Returns the CPU time used so far by all threads of a process. */
    static double cpuMs(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return TICK_MS * (Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[UTIME_FIELD + 1]));
        } catch (IOException | IndexOutOfBoundsException gone) {
            return Double.NaN;
        }
    }

    /** Returns the resident memory of a process. */
    static double memoryMb(long pid) {
        try {
            return PAGE_MB * Long.parseLong(Files.readString(Path.of("/proc/" + pid
                + "/statm")).split(" ")[1]);
        } catch (IOException | IndexOutOfBoundsException gone) {
            return Double.NaN;
        }
    }

    /** Returns the number of open file descriptors of a process. */
    static int descriptorCount(long pid) {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) all.count();
        } catch (IOException gone) {
            return -1;
        }
    }
}
