package barleyfall.lab.edge;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads RESP2 messages from a blocking stream. */
final class BlockingRespReader {
    private static final int LINE_END_BYTES = 2;

    private BlockingRespReader() { }

    /**
     * Reads one message: an array as its elements, a line (with its type character) or a string as a single
     * one.
     */
    static List<String> read(InputStream in) throws IOException {
        String header = readLine(in);
        List<String> elements = new ArrayList<>();
        if (header.startsWith("*")) {
            for (int i = Integer.parseInt(header.substring(1)); i > 0; i--) {
                elements.addAll(read(in));
            }
        } else if (header.startsWith("$")) {
            int length = Integer.parseInt(header.substring(1));
            elements.add(length < 0 ? "" : readString(in, length));
        } else {
            elements.add(header);
        }
        return elements;
    }

    private static String readString(InputStream in, int length) throws IOException {
        byte[] value = in.readNBytes(length + LINE_END_BYTES);
        if (value.length < length + LINE_END_BYTES) {
            throw new EOFException();
        }
        return new String(value, 0, length, StandardCharsets.ISO_8859_1);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            text.append((char) c);
        }
        return text.substring(0, text.length() - 1);
    }
}
