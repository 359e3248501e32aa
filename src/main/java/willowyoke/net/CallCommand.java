package willowyoke.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's CALL.GET or CALL.POST command, parsed: the request's id, the customer, the pairs of names and
 * values that the decision module uses, and the text of the pairs before and after the value of the timeout
 * (pair d).
 */
record CallCommand(String requestId, String customer, String requestClass, String plan, double timeoutMs,
    int units, int customerGatewayCount, int firstGateway, boolean clientRetry, String beforeTimeout,
    String afterTimeout) {

    private static final int CUSTOMER_INDEX = 1;
    private static final int REQUEST_ID_INDEX = 2;
    private static final int PAIRS_INDEX = 3;
    private static final int BODY_INDEX = 4;
    /** Radix of customers and request ids, and the largest number of their digits. */
    private static final int HEX_RADIX = 16;
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
        String pairs = RespCodec.text(parts.get(PAIRS_INDEX));
        String requestClass = null;
        String plan = null;
        double timeoutMs = Double.NaN;
        int units = 1;
        int customerGatewayCount = 1;
        int firstGateway = 0;
        int timeoutStart = -1;
        int timeoutEnd = -1;
        boolean clientRetry = false;
        for (int start = 0; start < pairs.length();) {
            int comma = pairs.indexOf(',', start);
            int end = comma < 0 ? pairs.length() : comma;
            int equals = pairs.indexOf('=', start);
            if (equals < 0 || equals >= end) {
                throw new IllegalArgumentException("name=value expected");
            }
            String value = pairs.substring(equals + 1, end);
            switch (pairs.substring(start, equals)) {
                case "c" -> requestClass = value;
                case "t" -> plan = value;
                case "d" -> {
                    timeoutMs = parseDecimal(value);
                    timeoutStart = equals + 1;
                    timeoutEnd = end;
                }
                case "units" -> units = parseInteger(value);
                case "spread" -> customerGatewayCount = parseInteger(value);
                case "first" -> firstGateway = parseInteger(value);
                case "r" -> clientRetry = value.equals("1");
                default -> { } // other pairs are only passed on
            }
            start = end + 1;
        }
        if (requestClass == null || plan == null || timeoutStart < 0 || units < 1 || customerGatewayCount < 1
            || firstGateway < 0) {
            throw new IllegalArgumentException("c, t and d are needed");
        }
        return new CallCommand(requestId, customer, requestClass, plan, timeoutMs, units,
            customerGatewayCount, firstGateway, clientRetry, pairs.substring(0, timeoutStart),
            pairs.substring(timeoutEnd));
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
            parts.add(i == PAIRS_INDEX
                ? RespCodec.bulk(alloc, beforeTimeout + Math.max(1, (long) remainingMs) + afterTimeout)
                : ((FullBulkStringRedisMessage) command.children().get(i)).retainedDuplicate());
        }
        return new ArrayRedisMessage(parts);
    }
}
