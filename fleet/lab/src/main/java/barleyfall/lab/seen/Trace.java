package barleyfall.lab.seen;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/** Collects the events of a run from any thread, and stores them as JSON lines next to the result. */
public final class Trace implements Consumer<Event> {
    private static final ObjectMapper JSON =
        new ObjectMapper().setSerializationInclusion(JsonInclude.Include.NON_NULL);

    private final Queue<Event> events = new ConcurrentLinkedQueue<>();

    @Override public void accept(Event event) {
        events.add(event);
    }

    /** Returns the events collected so far, in the order of time. */
    public List<Event> sortedByTime() {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingDouble(Event::atMs));
        return sorted;
    }

    /** Writes the events to a file, one JSON object per line. */
    public static void write(Path file, List<Event> events) throws IOException {
        ObjectWriter writer = JSON.writerFor(Event.class);
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Event event : events) {
                out.write(writer.writeValueAsString(event));
                out.newLine();
            }
        }
    }

    /** Reads a file that {@link #write} wrote; an unreadable line is named in the exception. */
    public static List<Event> read(Path file) throws IOException {
        try (MappingIterator<Event> events = JSON.readerFor(Event.class).readValues(file.toFile())) {
            return events.readAll();
        }
    }
}
