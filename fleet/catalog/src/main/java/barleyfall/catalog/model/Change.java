package barleyfall.catalog.model;

/** One change: from this version on the list holds this of a member. */
public record Change(long seq, Member member) { }
