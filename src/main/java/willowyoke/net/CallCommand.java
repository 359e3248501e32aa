package willowyoke.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's CALL.GET or CALL.POST command, parsed: the request's id, the customer, and the pairs of names
 * and values that the decision module uses. The pairs themselves stay in the command alone.
 *
 * @param timeoutStart where the value of the timeout (pair d) begins in the pairs, in bytes
 * @param timeoutEnd where it ends
 */
record CallCommand(String requestId, String customer, String requestClass, String plan, double timeoutMs,
    int units, int customerGatewayCount, int firstGateway, boolean clientRetry, int timeoutStart,
    int timeoutEnd) {

    private static final int CUSTOMER_INDEX = 1;
    private static final int REQUEST_ID_INDEX = 2;
    private static final int PAIRS_INDEX = 3;
    private static final int BODY_INDEX = 4;
    /** Radix of customers and request ids, and the largest number of their digits. */
    private static final int HEX_RADIX = 16;
    private static final int LONGEST_USED_NAME = "spread".length();
    /** Customers are numbers below this. */
    private static final long CUSTOMER_LIMIT = 1L << 33;

    /** Parses a command; throws IllegalArgumentException with what is wrong, which the client is told. */
    static CallCommand parse(ArrayRedisMessage command) {
        List<RedisMessage> parts = command.children();
        if (parts.size() <= PAIRS_INDEX || parts.size() > BODY_INDEX + 1) {
            throw new IllegalArgumentException("wrong number of arguments");
        }
        for (RedisMessage part : parts) {
            if (!(part instanceof FullBulkStringRedisMessage bulk) || bulk.isNull()) {
                throw new IllegalArgumentException("bulk strings expected");
            }
        }
        String customer = RespCodec.text(parts.get(CUSTOMER_INDEX));
        String requestId = RespCodec.text(parts.get(REQUEST_ID_INDEX));
        if (!isHex(customer) || !isHex(requestId) || customer.length() != HEX_RADIX
            || Long.compareUnsigned(Long.parseUnsignedLong(customer, HEX_RADIX), CUSTOMER_LIMIT) >= 0) {
            // A flag server would reject it.
            throw new IllegalArgumentException("customer or id is malformed");
        }
        return parsePairs(customer, requestId, pairsOf(command));
    }

    private static ByteBuf pairsOf(ArrayRedisMessage command) {
        return ((FullBulkStringRedisMessage) command.children().get(PAIRS_INDEX)).content();
    }

    private static CallCommand parsePairs(String customer, String requestId, ByteBuf pairs) {
        String requestClass = null;
        String plan = null;
        double timeoutMs = Double.NaN;
        int units = 1;
        int customerGatewayCount = 1;
        int firstGateway = 0;
        int timeoutStart = -1;
        int timeoutEnd = -1;
        boolean clientRetry = false;
        int first = pairs.readerIndex();
        for (int start = first; start < pairs.writerIndex();) {
            int comma = pairs.indexOf(start, pairs.writerIndex(), (byte) ',');
            int end = comma < 0 ? pairs.writerIndex() : comma;
            int equals = pairs.indexOf(start, end, (byte) '=');
            if (equals < 0) {
                throw new IllegalArgumentException("name=value expected");
            }
            int value = equals + 1;
            switch (usedName(pairs, start, equals)) {
                case "c" -> requestClass = text(pairs, value, end);
                case "t" -> plan = text(pairs, value, end);
                case "d" -> {
                    timeoutMs = parseDecimal(text(pairs, value, end));
                    timeoutStart = value - first;
                    timeoutEnd = end - first;
                }
                case "units" -> units = parseInteger(text(pairs, value, end));
                case "spread" -> customerGatewayCount = parseInteger(text(pairs, value, end));
                case "first" -> firstGateway = parseInteger(text(pairs, value, end));
                case "r" -> clientRetry = text(pairs, value, end).equals("1");
                default -> { } // other pairs are only passed on
            }
            start = end + 1;
        }
        if (requestClass == null || plan == null || timeoutStart < 0 || units < 1 || customerGatewayCount < 1
            || firstGateway < 0) {
            throw new IllegalArgumentException("c, t and d are needed");
        }
        return new CallCommand(requestId, customer, requestClass, plan, timeoutMs, units,
            customerGatewayCount, firstGateway, clientRetry, timeoutStart, timeoutEnd);
    }

    /** Returns the name of a pair; an empty text for one that is longer than all that are used here. */
    private static String usedName(ByteBuf pairs, int start, int end) {
        return end - start > LONGEST_USED_NAME ? "" : text(pairs, start, end);
    }

    private static String text(ByteBuf pairs, int start, int end) {
        return pairs.toString(start, end - start, StandardCharsets.UTF_8);
    }

    /** Returns how much memory the arguments of a command take, in bytes. */
    static int capacity(ArrayRedisMessage command) {
        int bytes = 0;
        for (RedisMessage part : command.children()) {
            bytes += ((FullBulkStringRedisMessage) part).content().capacity();
        }
        return bytes;
    }

    private static boolean isHex(String text) {
        return !text.isEmpty() && text.length() <= HEX_RADIX
            && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f');
    }

    private static int parseInteger(String value) {
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a whole number is malformed");
        }
    }

    private static double parseDecimal(String value) {
        double number = DecimalText.parse(value);
        if (Double.isNaN(number)) {
            throw new IllegalArgumentException("a number is malformed");
        }
        return number;
    }

    /** Returns a copy of the command for a flag server, in which the timeout is the remaining time. */
    ArrayRedisMessage withRemainingTime(ArrayRedisMessage command, double remainingMs,
        ByteBufAllocator alloc) {
        List<RedisMessage> parts = new ArrayList<>(command.children().size());
        for (int i = 0; i < command.children().size(); i++) {
            parts.add(i == PAIRS_INDEX ? pairsWithTimeout(pairsOf(command), remainingMs, alloc)
                : ((FullBulkStringRedisMessage) command.children().get(i)).retainedDuplicate());
        }
        return new ArrayRedisMessage(parts);
    }

    private FullBulkStringRedisMessage pairsWithTimeout(ByteBuf pairs, double remainingMs,
        ByteBufAllocator alloc) {
        byte[] timeout = Long.toString(Math.max(1, (long) remainingMs)).getBytes(StandardCharsets.US_ASCII);
        int first = pairs.readerIndex();
        int behindTimeout = pairs.readableBytes() - timeoutEnd;
        ByteBuf changed = alloc.directBuffer(timeoutStart + timeout.length + behindTimeout);
        changed.writeBytes(pairs, first, timeoutStart).writeBytes(timeout)
            .writeBytes(pairs, first + timeoutEnd, behindTimeout);
        return new FullBulkStringRedisMessage(changed);
    }
}
