package willowyoke.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two processes share the servers that operators have detached. */
class DetachedServersTest {
    @TempDir Path folder;

    /** A process that has not yet read that another one attached the server keeps what it answers yes to. */
    @Test void serverDetachedAgainStaysDetached() throws Exception {
        DetachedServers first = new DetachedServers(folder);
        DetachedServers second = new DetachedServers(folder);
        first.add("s0");
        second.remove("s0");
        first.add("s0");
        first.refresh();
        assertEquals(Set.of("s0"), first.servers());
    }

    @Test void folderThatIsAFileHoldsNoServerAndTakesNone() throws Exception {
        Files.createFile(folder.resolve("detached"));
        DetachedServers servers = new DetachedServers(folder);
        servers.refresh();
        assertThrows(IOException.class, () -> servers.add("s0"));
        assertEquals(Set.of(), servers.servers());
    }
}
