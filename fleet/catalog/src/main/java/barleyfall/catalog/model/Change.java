package barleyfall.catalog.model;

/**
 * One change of the list.
 *
 * @param seq the version of the list with this change
 * @param member the changed member as it is from this version on
 */
public record Change(long seq, Member member) { }
