package barleyfall.catalog.model;

import java.util.List;

/**
 * What a reader is sent next: all members at a version, or the changes that lead up to it.
 *
 * @param epoch the epoch of the list
 * @param whole true if {@code members} is the whole list, false if it is changes
 * @param seq the version that the reader has after applying this page
 * @param members all members, or the changed ones in the order of their changes
 */
public record Page(long epoch, boolean whole, long seq, List<Member> members) { }
