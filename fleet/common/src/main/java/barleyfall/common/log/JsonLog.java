package barleyfall.common.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.FileAppender;
import ch.qos.logback.core.OutputStreamAppender;
import java.nio.file.Path;
import org.slf4j.LoggerFactory;

/**
 * Sends everything that is logged to one place, as JSON lines, until it is closed. Replaces Logback's default
 * appender.
 */
public final class JsonLog implements AutoCloseable {
    private final OutputStreamAppender<ILoggingEvent> appender;
    private final Logger root;

    private JsonLog(OutputStreamAppender<ILoggingEvent> target) {
        appender = target;
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.detachAppender("console"); // Logback adds it if there is no configuration file
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithFormattedMessage(true);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.start();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        root.addAppender(appender);
    }

    /** Logs to a file, which is truncated. */
    public static JsonLog toFile(Path file) {
        FileAppender<ILoggingEvent> target = new FileAppender<>();
        target.setFile(file.toString());
        target.setAppend(false);
        return new JsonLog(target);
    }

    /** Logs to standard output. */
    public static JsonLog toConsole() {
        return new JsonLog(new ConsoleAppender<>());
    }

    /** Limits a logger, such as that of a library, to warnings and errors. */
    public JsonLog warningsOnly(String logger) {
        ((Logger) LoggerFactory.getLogger(logger)).setLevel(Level.WARN);
        return this;
    }

    @Override public void close() {
        root.detachAppender(appender);
        appender.stop();
    }
}
