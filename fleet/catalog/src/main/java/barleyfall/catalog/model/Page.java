package barleyfall.catalog.model;

import java.util.List;

/**
 * A part of the list's story: all members at a version, or the changes up to it.
 *
 * @param epoch which life of the list this is
 * @param whole whether these are all members, and not changes
 * @param seq the version that the reader holds with it
 * @param members the members, or each change in its order
 */
public record Page(long epoch, boolean whole, long seq, List<Member> members) { }
