package barleyfall.lab.run;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.FileAppender;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.slf4j.LoggerFactory;

/** The lab's own log of a run: JSON lines in the run's folder, and nothing on the console. */
public final class LabLog implements AutoCloseable {
    /** The file's name in the folder of a run. */
    public static final String NAME = "log.jsonl";

    private final FileAppender<ILoggingEvent> appender = new FileAppender<>();
    private final Logger root;

    /** Logs into that folder until closed. */
    public LabLog(Path out) throws IOException {
        Files.createDirectories(out);
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.detachAppender("console"); // logback's own, where no file configures it
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithFormattedMessage(true);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.start();
        appender.setContext(context);
        appender.setFile(out.resolve(NAME).toString());
        appender.setAppend(false);
        appender.setEncoder(encoder);
        appender.start();
        root.addAppender(appender);
    }

    @Override public void close() {
        root.detachAppender(appender);
        appender.stop();
    }
}
