package barleyfall.catalog.model;

/**
 * What a flag server says of itself when it registers.
 *
 * @param host its name, the same for its whole life; 1 to 64 letters, digits, dots, dashes and underscores
 * @param dial where it listens, {@code address:port}
 * @param site its zone
 * @param region the region of its zone, or empty
 * @param kind the class of machine
 * @param block a number that machines sharing a fate have in common, 0 or more
 * @param share how much it is to carry beside the others, 0 to 1000
 * @param bornMs its process's start, ms of Unix time; 0 for long ago
 * @param leaseMs for how long a word of it holds, ms
 * @param leaving whether it drains
 * @param instance a name for this life of it: a restart or a second machine comes with another one
 */
public record Spec(String host, String dial, String site, String region, String kind, int block, double share,
    long bornMs, int leaseMs, boolean leaving, String instance) { }
