package barleyfall.lab.standin;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An incremental parser for RESP2 that returns complete messages only. Netty's codec creates an object for
 * each part, which at the request rates of a run costs the lab more CPU than the models of the stand-ins.
 */
final class RespParser {
    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    /** Thrown for bytes that are not RESP2. */
    static final class MalformedRespException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedRespException(String reason) {
            super(reason);
        }
    }

    private byte[] buffer = new byte[512];
    private int messageStart;
    private int dataEnd;
    private int position;

    /** Returns whether all bytes have been consumed. */
    boolean isEmpty() {
        return messageStart == dataEnd;
    }

    /** Adds bytes that were received. */
    void add(ByteBuf input) throws MalformedRespException {
        int addedBytes = input.readableBytes();
        if (dataEnd - messageStart + addedBytes > MAX_MESSAGE_BYTES) {
            throw new MalformedRespException("a message of more than " + MAX_MESSAGE_BYTES + " bytes");
        }
        if (dataEnd + addedBytes > buffer.length) {
            byte[] target = dataEnd - messageStart + addedBytes > buffer.length
                ? new byte[2 * (dataEnd - messageStart + addedBytes)] : buffer;
            System.arraycopy(buffer, messageStart, target, 0, dataEnd - messageStart);
            buffer = target;
            dataEnd -= messageStart;
            messageStart = 0;
        }
        input.readBytes(buffer, dataEnd, addedBytes);
        dataEnd += addedBytes;
    }

    /**
     * Returns the next message, or null if it is not complete: an array as its elements, a line or a string
     * as a single one.
     */
    List<String> next() throws MalformedRespException {
        position = messageStart;
        List<String> elements = new ArrayList<>(5);
        if (isEmpty() || !readValue(elements)) {
            return null;
        }
        messageStart = position;
        if (elements.isEmpty()) {
            throw new MalformedRespException("an empty message");
        }
        return elements;
    }

    /** Appends the value at the position; returns false if it is not complete. */
    private boolean readValue(List<String> elements) throws MalformedRespException {
        String line = readLine();
        if (line == null) {
            return false;
        }
        if (line.startsWith("*")) {
            for (int i = parseLength(line); i > 0; i--) {
                if (!readValue(elements)) {
                    return false;
                }
            }
            return true;
        }
        if (!line.startsWith("$")) {
            elements.add(line);
            return true;
        }
        int length = parseLength(line);
        if (length < 0) {
            elements.add(null);
            return true;
        }
        if (dataEnd - position < length + 2) {
            return false;
        }
        elements.add(new String(buffer, position, length, StandardCharsets.ISO_8859_1));
        position += length + 2;
        return true;
    }

    /** Returns the number after the type character. */
    private static int parseLength(String line) throws MalformedRespException {
        try {
            int length = Integer.parseInt(line.substring(1));
            if (length <= MAX_MESSAGE_BYTES) {
                return length;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new MalformedRespException("a length expected: " + line);
    }

    /** Returns the line at the position without its end, or null if it is not complete. */
    private String readLine() throws MalformedRespException {
        for (int i = position; i + 1 < dataEnd; i++) {
            if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
                String line = new String(buffer, position, i - position, StandardCharsets.ISO_8859_1);
                position = i + 2;
                return line;
            }
        }
        if (dataEnd - position > 4096) {
            throw new MalformedRespException("a line of more than 4,096 bytes");
        }
        return null;
    }
}
