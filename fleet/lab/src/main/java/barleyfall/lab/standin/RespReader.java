package barleyfall.lab.standin;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * RESP2 as it comes in pieces: a message is read whole or not at all. Netty's codec makes an object for each
 * part; at the rates of a run those cost the lab more CPU than the stand-ins' models do.
 */
final class RespReader {
    private static final int MOST = 1 << 20;

    /** What cannot be read as RESP2. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String what) {
            super(what);
        }
    }

    private byte[] bytes = new byte[512];
    private int start;
    private int end;
    private int at;

    boolean isEmpty() {
        return start == end;
    }

    void add(ByteBuf in) throws Malformed {
        int more = in.readableBytes();
        if (end - start + more > MOST) {
            throw new Malformed("a message of more than " + MOST + " bytes");
        }
        if (end + more > bytes.length) {
            byte[] room = end - start + more > bytes.length ? new byte[2 * (end - start + more)] : bytes;
            System.arraycopy(bytes, start, room, 0, end - start);
            bytes = room;
            end -= start;
            start = 0;
        }
        in.readBytes(bytes, end, more);
        end += more;
    }

    /**
     * The next message, or null where it is not whole yet: an array as its words, a line or string as one.
     */
    List<String> next() throws Malformed {
        at = start;
        List<String> words = new ArrayList<>(5);
        if (isEmpty() || !read(words)) {
            return null;
        }
        start = at;
        if (words.isEmpty()) {
            throw new Malformed("an empty message");
        }
        return words;
    }

    private boolean read(List<String> words) throws Malformed {
        String line = line();
        if (line == null) {
            return false;
        }
        if (line.startsWith("*")) {
            for (int i = length(line); i > 0; i--) {
                if (!read(words)) {
                    return false;
                }
            }
            return true;
        }
        if (!line.startsWith("$")) {
            words.add(line);
            return true;
        }
        int length = length(line);
        if (length < 0) {
            words.add(null);
            return true;
        }
        if (end - at < length + 2) {
            return false;
        }
        words.add(new String(bytes, at, length, StandardCharsets.ISO_8859_1));
        at += length + 2;
        return true;
    }

    private static int length(String line) throws Malformed {
        try {
            int length = Integer.parseInt(line.substring(1));
            if (length <= MOST) {
                return length;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new Malformed("a length expected: " + line);
    }

    private String line() throws Malformed {
        for (int i = at; i + 1 < end; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                String line = new String(bytes, at, i - at, StandardCharsets.ISO_8859_1);
                at = i + 2;
                return line;
            }
        }
        if (end - at > 4096) {
            throw new Malformed("a line of more than 4,096 bytes");
        }
        return null;
    }
}
