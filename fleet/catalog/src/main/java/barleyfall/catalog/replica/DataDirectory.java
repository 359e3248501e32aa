package barleyfall.catalog.replica;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;
import org.apache.ratis.server.RaftServerConfigKeys.Log.CorruptionPolicy;
import org.apache.ratis.server.raftlog.segmented.LogSegment;
import org.apache.ratis.server.raftlog.segmented.LogSegmentPath;
import org.apache.ratis.util.SizeInBytes;

/**
 * The data directory of a replica, which also decides how the replica starts from it.
 *
 * <p>A replica that has lost its data must not vote under its old identity: its vote could undo entries that
 * were committed with it. So an empty directory creates a new list only on an operator's request
 * ({@code --found}); otherwise the other replicas remove this one from the group and add it again.
 */
final class DataDirectory {
    /** How a replica starts. */
    enum StartMode {
        /** With the data that it has. */
        MEMBER,
        /** As a replica of a new, empty list. */
        FOUNDER,
        /** Without data: it waits until the other replicas have added it again. */
        JOINER
    }

    /** Name of the file that marks a replica which has not been added again yet. */
    private static final String JOINING = "joining";
    /** Name of the file that holds the index up to which the log had been flushed. */
    private static final String KEPT = "kept";
    private static final SizeInBytes MAX_ENTRY_SIZE = SizeInBytes.valueOf("128MB");

    private final Path dir;
    private final Path raftDir;

    /** The data directory {@code dir}, in which Ratis stores the Raft group of that id. */
    DataDirectory(Path dir, UUID groupId) {
        this.dir = dir;
        raftDir = dir.resolve(groupId.toString());
    }

    /** Decides how to start; {@code newList} is the operator's request to create a new list. */
    StartMode prepare(boolean newList) throws IOException {
        Files.createDirectories(dir);
        if (!Files.exists(dir.resolve(JOINING)) && Files.exists(raftDir.resolve("current"))) {
            return StartMode.MEMBER;
        }
        if (newList && !Files.exists(raftDir)) {
            return StartMode.FOUNDER;
        }
        Files.write(dir.resolve(JOINING), new byte[0]);
        return StartMode.JOINER;
    }

    /** Records that the other replicas have added this one again. */
    void markJoined() throws IOException {
        Files.deleteIfExists(dir.resolve(JOINING));
    }

    /** Records durably that the log has been flushed up to an index. */
    void recordFlushedIndex(long index) throws IOException {
        try (FileChannel out = FileChannel.open(dir.resolve(KEPT), StandardOpenOption.CREATE,
            StandardOpenOption.WRITE)) {
            // A single write of a few bytes and a fixed length: a crash leaves the old value or the new one.
            out.write(ByteBuffer.wrap(String.format("%020d%n", index).getBytes(StandardCharsets.US_ASCII)));
            out.force(false);
        }
    }

    /** Throws if the log ends before the recorded index: the disk has lost entries that it had flushed. */
    void verifyLogTail() throws IOException {
        if (!Files.exists(dir.resolve(KEPT))) {
            return;
        }
        String recorded = Files.readString(dir.resolve(KEPT)).trim();
        long last = lastIndex();
        if (!recorded.matches("\\d{20}") || last < Long.parseLong(recorded)) {
            throw new IOException("the log ends at entry " + last + ", but entries up to " + recorded
                + " had been flushed: its tail is lost");
        }
    }

    /** The index of the last entry in the log's segment files and the snapshots, -1 if there is none. */
    private long lastIndex() throws IOException {
        long last = -1;
        try (var files = Files.list(raftDir.resolve("sm"))) {
            for (Path file : files.toList()) {
                String[] nameParts = file.getFileName().toString().split("_");
                if (nameParts[0].startsWith("snapshot.") && nameParts[1].matches("\\d+")) {
                    last = Math.max(last, Long.parseLong(nameParts[1]));
                }
            }
        }
        List<Path> segmentFiles;
        try (var files = Files.list(raftDir.resolve("current"))) {
            segmentFiles = files.filter(p -> p.getFileName().toString().startsWith("log_")).toList();
        }
        for (Path file : segmentFiles) {
            LogSegmentPath segment = LogSegmentPath.matchLogSegment(file);
            long[] end = {last};
            LogSegment.readSegmentFile(file.toFile(), segment.getStartEnd(), MAX_ENTRY_SIZE,
                CorruptionPolicy.EXCEPTION, null, entry -> end[0] = Math.max(end[0], entry.getIndex()));
            last = end[0];
        }
        return last;
    }
}
