package barleyfall.catalog.http;

/** A request is refused, without any effect; holds the HTTP status, the reason and the offending key. */
final class RequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;
    private final String key;

    /** Creates the exception; {@code key} is the key of the body or query that is wrong, or null. */
    RequestException(int status, String key, String reason) {
        super(reason);
        this.status = status;
        this.key = key;
    }

    /** The HTTP status of the response. */
    int status() {
        return status;
    }

    /** The offending key, or null. */
    String key() {
        return key;
    }
}
