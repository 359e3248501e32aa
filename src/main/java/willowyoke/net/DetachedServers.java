package willowyoke.net;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * The flag servers that an operator has detached, which get no requests. The set is shared with the process
 * that replaces this one, or that still runs beside it, through a directory with one empty file per server:
 * with a file each, two processes never write the same file.
 */
final class DetachedServers {
    private final Path directory;
    private Set<String> serverIds = new TreeSet<>();

    /**
     * Uses the subdirectory "detached" of the shared directory; where that is null, the set is kept in memory
     * and ends with this process.
     */
    DetachedServers(Path sharedDirectory) {
        directory = sharedDirectory == null ? null : sharedDirectory.resolve("detached");
    }

    /** The ids of the detached servers, as of the last refresh or change; not a copy. */
    Set<String> servers() {
        return serverIds;
    }

    /**
     * Reads the shared directory again; true where another process has changed the set. Throws where it
     * cannot be read whole; the set is then unchanged, as a part of the list is not a shorter list.
     */
    boolean refresh() throws IOException {
        if (directory == null) {
            return false;
        }
        Set<String> found = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                addServerId(file.getFileName().toString(), found);
            }
        } catch (NoSuchFileException | NotDirectoryException noServerYet) {
            return false;
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        boolean changed = !found.equals(serverIds);
        serverIds = found;
        return changed;
    }

    /** Adds the server that a file stands for; a name that no process of ours writes stands for none. */
    private static void addServerId(String fileName, Set<String> serverIds) {
        try {
            serverIds.add(URLDecoder.decode(fileName, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException noServerId) {
            return;
        }
    }

    /** Detaches a server. Throws where its file cannot be written; the set is then unchanged. */
    void add(String serverId) throws IOException {
        if (directory != null) { // also where it is known: another process may just have deleted the file
            Files.createDirectories(directory);
            Files.write(file(serverId), new byte[0]);
        }
        serverIds.add(serverId);
    }

    /** Attaches a server again. Throws where its file cannot be deleted; the set is then unchanged. */
    void remove(String serverId) throws IOException {
        if (directory != null) {
            Files.deleteIfExists(file(serverId));
        }
        serverIds.remove(serverId);
    }

    private Path file(String serverId) {
        return directory.resolve(URLEncoder.encode(serverId, StandardCharsets.UTF_8));
    }
}
