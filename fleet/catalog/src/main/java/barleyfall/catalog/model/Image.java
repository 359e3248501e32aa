package barleyfall.catalog.model;

import java.util.List;

/**
 * All that the list is at a version.
 *
 * @param epoch rises with each restore: versions of two epochs say nothing of each other
 * @param seq the version
 * @param members the members, by name
 * @param changes the last changes, oldest first
 * @param hold whether the guard holds leases, and since when and why; null where it does not
 */
public record Image(long epoch, long seq, List<Member> members, List<Change> changes, Command.Hold hold) { }
