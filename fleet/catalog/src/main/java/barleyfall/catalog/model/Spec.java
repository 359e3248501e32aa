package barleyfall.catalog.model;

/**
 * The properties that a flag server registers.
 *
 * @param host its name, which doesn't change; 1 to 64 letters, digits, dots, dashes and underscores
 * @param dial the address on which it listens, {@code address:port}
 * @param site its zone
 * @param region the region of its zone, or empty
 * @param kind the class of machine
 * @param block the number of its failure domain, 0 or more: machines of one number tend to fail together
 * @param share its weight relative to the other flag servers, 0 to 1000
 * @param bornMs when its process started, ms of Unix time; 0 for long ago
 * @param leaseMs how long a registration or renewal is valid, ms
 * @param leaving whether it is draining
 * @param instance identifies the process: a restart, or a second machine of the same name, has another one
 */
public record Spec(String host, String dial, String site, String region, String kind, int block, double share,
    long bornMs, int leaseMs, boolean leaving, String instance) { }
