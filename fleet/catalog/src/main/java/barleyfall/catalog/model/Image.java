package barleyfall.catalog.model;

import java.util.List;

/**
 * The complete state of the list at one version; the content of a snapshot.
 *
 * @param epoch the epoch of the list, greater after each restore; versions of different epochs can't be
 *     compared
 * @param seq the version of the list
 * @param members the members, ordered by name
 * @param changes the most recent changes, oldest first
 * @param hold the command by which the guard against mass loss began to hold leases, or null if it doesn't
 *     hold any
 */
public record Image(long epoch, long seq, List<Member> members, List<Change> changes, Command.Hold hold) { }
