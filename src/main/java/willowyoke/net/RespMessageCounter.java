package willowyoke.net;

import io.netty.buffer.ByteBuf;

/** Counts the RESP messages in a stream of bytes, which come in any pieces; knows nothing of the decoder. */
final class RespMessageCounter {
    private static final int MAX_DIGITS = 12;

    private long begun;
    private long completed;
    private boolean malformed;
    /** Values that the current message still lacks; 0 between messages. */
    private long missingValues;
    /** Bytes of a bulk string, with its line end, that have not come. */
    private long missingBytes;
    /** The first byte of the current line, 0 between lines. */
    private byte lineType;
    private long number;
    private int digits;
    private boolean negative;

    /** How many messages have begun. */
    long begun() {
        return begun;
    }

    /** How many messages are whole. */
    long completed() {
        return completed;
    }

    /** Whether something came that is no message; nothing is counted from there on. */
    boolean isMalformed() {
        return malformed;
    }

    /** Takes the readable bytes of a buffer, and leaves its indices as they are. */
    void count(ByteBuf bytes) {
        int index = bytes.readerIndex();
        int end = bytes.writerIndex();
        while (index < end && !malformed) {
            if (missingBytes > 0) {
                long skipped = Math.min(missingBytes, end - index);
                index += (int) skipped;
                missingBytes -= skipped;
                if (missingBytes == 0) {
                    valueComplete();
                }
            } else {
                nextByteOfLine(bytes.getByte(index++));
            }
        }
    }

    private void nextByteOfLine(byte next) {
        if (lineType == 0) {
            beginLine(next);
        } else if (next == '\n') {
            endLine();
        } else if (lineType == '$' || lineType == '*') {
            nextDigit(next);
        }
    }

    private void beginLine(byte type) {
        malformed = "$*+-:".indexOf(type) < 0;
        lineType = type;
        number = 0;
        digits = 0;
        negative = false;
        if (missingValues == 0) {
            missingValues = 1;
            begun++;
        }
    }

    private void nextDigit(byte next) {
        if (next == '-' && digits == 0) {
            negative = true;
        } else if (next >= '0' && next <= '9' && digits < MAX_DIGITS) {
            number = 10 * number + (next - '0');
            digits++;
        } else if (next != '\r') {
            malformed = true;
        }
    }

    private void endLine() {
        byte type = lineType;
        lineType = 0;
        if (type == '$' && !negative) {
            missingBytes = number + 2;
        } else if (type == '*' && !negative && number > 0) {
            missingValues += number - 1;
        } else {
            valueComplete();
        }
    }

    private void valueComplete() {
        missingValues--;
        if (missingValues == 0) {
            completed++;
        }
    }
}
