package willowyoke.net;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.List;

/**
 * An error line that a flag server or the counter has answered, read as the protocol defines it. A line that
 * the protocol does not define says nothing about what the sender has done, whatever it begins with.
 *
 * @param code what the line says
 * @param text the whole line
 * @param loadReport the load report that is its last word, or null
 */
record ErrorLine(Code code, String text, String loadReport) {
    /** The meaning of an error line. */
    enum Code {
        /** The call was turned away before anything was done. */
        BUSY,
        /** The call was rejected, or has failed. */
        ERR,
        /** The protocol does not define the line. */
        UNKNOWN
    }

    /**
     * Reads an error line of a flag server; null for any other message.
     *
     * @param loadFields the load figures that the settings name; an error line may end with a report of them
     */
    static ErrorLine ofServer(RedisMessage message, List<String> loadFields) {
        return message instanceof ErrorRedisMessage error ? parse(error.content(), loadFields) : null;
    }

    /** Reads an error line of the counter, which reports no load; null for any other message. */
    static ErrorLine ofCounter(RedisMessage message) {
        return ofServer(message, List.of());
    }

    private static ErrorLine parse(String line, List<String> loadFields) {
        int codeEnd = line.indexOf(' ');
        String detail = codeEnd < 0 ? "" : line.substring(codeEnd + 1);
        String lastWord = detail.substring(detail.lastIndexOf(' ') + 1);
        String loadReport = LoadReport.isReport(lastWord, loadFields) ? lastWord : null;
        Code code = switch (codeEnd < 0 ? line : line.substring(0, codeEnd)) {
            case "BUSY" -> codeEnd < 0 || detail.equals(loadReport) ? Code.BUSY : Code.UNKNOWN;
            case "ERR" -> Code.ERR;
            default -> Code.UNKNOWN;
        };
        return new ErrorLine(code, line, loadReport);
    }
}
