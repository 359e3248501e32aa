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

/** Damages the files of a process that has been killed, before it starts again. */
final class DiskDamage {
    private static final String READ_ONLY_PERMISSIONS = "r-xr-xr-x";

    private DiskDamage() { }

    /**
     * Damages each file in the folder and below it whose name matches the glob pattern; returns one line for
     * each file.
     */
    static List<String> damage(Path folder, String pattern, String kind, UniformRandomProvider random)
        throws IOException {
        if (kind.equals("read-only")) {
            Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString(READ_ONLY_PERMISSIONS));
            return List.of(folder.getFileName() + " is read-only");
        }
        PathMatcher matcher = FileSystems.getDefault().getPathMatcher("glob:" + pattern);
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile).filter(file -> matcher.matches(file.getFileName()))
                .sorted().map(file -> damageFile(file, kind, random)).toList();
        }
    }

    private static String damageFile(Path file, String kind, UniformRandomProvider random) {
        try (RandomAccessFile content = new RandomAccessFile(file.toFile(), "rw")) {
            long length = content.length();
            if (length == 0) {
                return file.getFileName() + " was empty";
            }
            return file.getFileName() + switch (kind) {
                case "truncate" -> {
                    content.setLength(0);
                    yield " was truncated to nothing, from " + length + " bytes";
                }
                case "drop-tail" -> {
                    long kept = random.nextLong(length);
                    content.setLength(kept);
                    yield " was truncated to " + kept + " of " + length + " bytes";
                }
                case "flip" -> {
                    long position = random.nextLong(length);
                    int bit = random.nextInt(8);
                    content.seek(position);
                    int oldByte = content.read();
                    content.seek(position);
                    content.write(oldByte ^ 1 << bit);
                    yield " had bit " + bit + " of byte " + position + " flipped";
                }
                default -> throw new IllegalArgumentException("unknown kind of damage: " + kind);
            };
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
