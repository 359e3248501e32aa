package barleyfall.lab.run;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;

/** What can happen to the files of a process that has been killed, before it starts again. */
final class DiskDamage {
    private static final String READ_ONLY = "r-xr-xr-x";

    private DiskDamage() { }

    /**
     * Damages each file under the folder whose name fits the pattern; returns what was done, one line a
     * file.
     */
    static List<String> damage(Path folder, String pattern, String how, UniformRandomProvider random)
        throws IOException {
        if (how.equals("read-only")) {
            Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString(READ_ONLY));
            return List.of(folder.getFileName() + " is read-only");
        }
        PathMatcher fits = FileSystems.getDefault().getPathMatcher("glob:" + pattern);
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(Files::isRegularFile).filter(p -> fits.matches(p.getFileName())).sorted()
                .map(p -> one(p, how, random)).toList();
        }
    }

    private static String one(Path file, String how, UniformRandomProvider random) {
        try (RandomAccessFile f = new RandomAccessFile(file.toFile(), "rw")) {
            long length = f.length();
            if (length == 0) {
                return file.getFileName() + " was empty";
            }
            return file.getFileName() + switch (how) {
                case "truncate" -> {
                    f.setLength(0);
                    yield " was cut to nothing, from " + length + " bytes";
                }
                case "drop-tail" -> {
                    long kept = random.nextLong(length);
                    f.setLength(kept);
                    yield " was cut to " + kept + " of " + length + " bytes";
                }
                case "flip" -> {
                    long at = random.nextLong(length);
                    int bit = random.nextInt(8);
                    f.seek(at);
                    int old = f.read();
                    f.seek(at);
                    f.write(old ^ 1 << bit);
                    yield " had bit " + bit + " of byte " + at + " flipped";
                }
                default -> throw new IllegalArgumentException("no damage to a file: " + how);
            };
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
