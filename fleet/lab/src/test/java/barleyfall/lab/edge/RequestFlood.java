package barleyfall.lab.edge;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/** One client that writes requests on one connection as fast as it can, and reads the answers. */
final class RequestFlood implements AutoCloseable {
    private static final int REQUESTS_PER_WRITE = 64;
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final Semaphore mayBeOpen;
    private final AtomicLong answered = new AtomicLong();
    private final EdgeFixture.Client client;
    private final IntFunction<String> requests;
    private final Thread writer;
    private final Thread reader;
    private volatile boolean ended;

    /**
     * Starts the client.
     *
     * @param maxOpen how many requests it leaves without an answer before it waits for one
     * @param requests the text of each request, by its number
     */
    RequestFlood(EdgeFixture edge, int maxOpen, IntFunction<String> requests) throws IOException {
        this.requests = requests;
        mayBeOpen = new Semaphore(Math.max(maxOpen, REQUESTS_PER_WRITE));
        client = edge.client();
        writer = new Thread(this::write, "flood");
        reader = new Thread(this::read, "flood answers");
        writer.start();
        reader.start();
    }

    private void write() {
        try {
            OutputStream out = client.socket.getOutputStream();
            for (int number = 0; !ended; number += REQUESTS_PER_WRITE) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                    text.append(requests.apply(number + i));
                }
                mayBeOpen.acquire(REQUESTS_PER_WRITE);
                out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException | InterruptedException closed) {
            ended = true;
        }
    }

    private void read() {
        try {
            InputStream in = new BufferedInputStream(client.socket.getInputStream(), READ_BUFFER_BYTES);
            while (!ended) {
                BlockingRespReader.read(in);
                answered.incrementAndGet();
                mayBeOpen.release();
            }
        } catch (IOException closed) {
            ended = true;
        }
    }

    /** How many answers have come. */
    long answered() {
        return answered.get();
    }

    /** Goes on until a time, or until the node ends the connection. */
    void runUntil(long endNanos) throws InterruptedException {
        writer.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime())));
    }

    /** Closes the connection. */
    @Override public void close() throws IOException, InterruptedException {
        ended = true;
        client.socket.close();
        writer.interrupt();
        writer.join();
        reader.join();
    }
}
