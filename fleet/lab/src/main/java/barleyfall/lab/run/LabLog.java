package barleyfall.lab.run;

import barleyfall.common.log.JsonLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The lab's own log of a run: JSON lines in the folder of the run, nothing on the console. */
public final class LabLog implements AutoCloseable {
    /** Name of the file in the folder of a run. */
    public static final String FILE_NAME = "log.jsonl";

    private final JsonLog log;

    /** Logs into a folder until closed; the folder is created. */
    public LabLog(Path out) throws IOException {
        Files.createDirectories(out);
        log = JsonLog.toFile(out.resolve(FILE_NAME));
    }

    @Override public void close() {
        log.close();
    }
}
