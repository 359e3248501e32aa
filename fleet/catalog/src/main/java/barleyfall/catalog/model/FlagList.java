package barleyfall.catalog.model;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The list of flag servers: its members, its version and its most recent changes. Deterministic: the same
 * commands in the same order give the same list on each replica, so it must not read a clock. Thread-safe:
 * one thread applies commands while others read.
 */
public final class FlagList {
    /**
     * How many versions a restore skips, so that no version is reused that was assigned after the snapshot
     * was taken.
     */
    static final long RESTORE_VERSION_GAP = 1 << 20;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int INSUFFICIENT_STORAGE = 507;

    private final int maxMembers;
    private final Map<String, Member> members = new TreeMap<>();
    private final ChangeLog changeLog;
    private long epoch;
    private long seq;
    private Command.Hold hold;

    /**
     * Creates an empty list.
     *
     * @param maxMembers how many members it accepts
     * @param maxChanges how many changes it keeps for watches that resume
     */
    public FlagList(int maxMembers, int maxChanges) {
        this.maxMembers = maxMembers;
        changeLog = new ChangeLog(maxChanges);
    }

    /** The version of the list: the number of the last change. */
    public synchronized long seq() {
        return seq;
    }

    /**
     * The epoch of the list, greater after each restore; versions of different epochs can't be compared.
     * 0 until the list is initialized.
     */
    public synchronized long epoch() {
        return epoch;
    }

    /** The oldest version from which a watch can resume. */
    public synchronized long oldestSeq() {
        return changeLog.oldestSeq();
    }

    /** The command by which the guard against mass loss holds leases, or null if it doesn't hold any. */
    public synchronized Command.Hold hold() {
        return hold;
    }

    /** The members, ordered by name. */
    public synchronized List<Member> members() {
        return List.copyOf(members.values());
    }

    /** The member of that name, or null. */
    public synchronized Member member(String host) {
        return members.get(host);
    }

    /**
     * What a reader that has version {@code since} is sent next: at most {@code limit} changes, or the whole
     * list if the version is compacted or of another epoch. A version of this epoch that this replica hasn't
     * reached yet (the reader has it from another replica) gives no changes: a reader never goes back.
     */
    public synchronized Page page(long readerEpoch, long since, int limit) {
        if (readerEpoch != epoch || since < changeLog.oldestSeq()) {
            return new Page(epoch, true, seq, List.copyOf(members.values()));
        }
        List<Member> changed = changeLog.after(since, limit).stream().map(Change::member).toList();
        return new Page(epoch, false, changed.isEmpty() ? since : changed.get(changed.size() - 1).seq(),
            changed);
    }

    /**
     * The epoch to assume for a version whose reader names none: the current epoch if a watch can resume from
     * that version, otherwise -1, which is no epoch.
     */
    public synchronized long epochOf(long since) {
        return since >= changeLog.oldestSeq() && since <= seq ? epoch : -1;
    }

    /** A copy of the complete state, for a snapshot. */
    public synchronized Image image() {
        return new Image(epoch, seq, List.copyOf(members.values()), changeLog.all(), hold);
    }

    /** Replaces the complete state by that of a snapshot. */
    public synchronized void load(Image image) {
        members.clear();
        image.members().forEach(member -> members.put(member.host(), member));
        epoch = image.epoch();
        seq = image.seq();
        hold = image.hold();
        changeLog.reset(image.seq() - image.changes().size());
        image.changes().forEach(changeLog::add);
    }

    /** Applies a command completely or, if it is refused, not at all. */
    public synchronized Outcome apply(Command command) {
        if (command instanceof Command.Register register) {
            return register(register);
        } else if (command instanceof Command.Leave leave) {
            Member member = members.get(leave.host());
            return member == null ? notListed(leave.host())
                : member.token() != leave.token() ? superseded(member) : remove(member);
        } else if (command instanceof Command.Mark mark) {
            return mark(mark);
        } else if (command instanceof Command.Remove remove) {
            Outcome conflict = versionConflict(remove.host(), remove.expected());
            return conflict != null ? conflict
                : members.containsKey(remove.host()) ? remove(members.get(remove.host()))
                : notListed(remove.host());
        } else if (command instanceof Command.Expire expire) {
            for (Command.ExpiredLease lease : expire.ended()) {
                Member member = members.get(lease.host());
                if (member != null && member.token() == lease.token() && !member.pinned()) {
                    remove(member);
                }
            }
            return outcome(OK, null, null);
        } else if (command instanceof Command.Initialize initialize) {
            epoch = epoch == 0 ? initialize.epoch() : epoch;
            return outcome(OK, null, null);
        } else if (command instanceof Command.Hold change) {
            hold = change.on() ? change : null;
            return outcome(OK, null, null);
        }
        return restore(((Command.Restore) command).image());
    }

    private Outcome register(Command.Register command) {
        Spec spec = command.spec();
        Member known = members.get(spec.host());
        Outcome conflict = versionConflict(spec.host(), command.expected());
        if (conflict != null) {
            return conflict;
        }
        if (known == null && members.size() >= maxMembers) {
            return outcome(INSUFFICIENT_STORAGE, "the list is full: " + maxMembers + " members", null);
        }
        boolean sameInstance = known != null && known.spec().instance().equals(spec.instance());
        if (known != null && !sameInstance && spec.bornMs() <= known.spec().bornMs()) {
            return outcome(CONFLICT, spec.host() + " is registered from elsewhere ("
                + known.spec().instance() + " at " + known.spec().dial()
                + "), which started no earlier; remove it first if it is gone", known);
        }
        if (sameInstance && known.spec().equals(spec)) {
            return outcome(OK, null, known); // a repeated request: the first response was lost
        }
        long token = sameInstance ? known.token() : seq + 1;
        Member member = new Member(spec, token, known != null && known.drained(),
            known != null && known.pinned(), false, 0);
        return outcome(OK, null, commit(member));
    }

    private Outcome mark(Command.Mark command) {
        Member member = members.get(command.host());
        Outcome conflict = versionConflict(command.host(), command.expected());
        if (conflict != null || member == null) {
            return conflict != null ? conflict : notListed(command.host());
        }
        boolean drained = command.marker() == Command.Marker.DRAINED ? command.on() : member.drained();
        boolean pinned = command.marker() == Command.Marker.PINNED ? command.on() : member.pinned();
        if (drained == member.drained() && pinned == member.pinned()) {
            return outcome(OK, null, member);
        }
        return outcome(OK, null,
            commit(new Member(member.spec(), member.token(), drained, pinned, false, 0)));
    }

    private Outcome remove(Member member) {
        commit(new Member(member.spec(), member.token(), member.drained(), member.pinned(), true, 0));
        return outcome(OK, null, null);
    }

    /** Stores a changed member, or removes one that has left, under the next version of the list. */
    private Member commit(Member member) {
        Member committed = member.withSeq(++seq);
        if (committed.left()) {
            members.remove(committed.host());
        } else {
            members.put(committed.host(), committed);
        }
        changeLog.add(new Change(seq, committed));
        return committed;
    }

    /**
     * Restores the members of a snapshot in a new epoch, at a version greater than any that this list or the
     * snapshot's can have assigned. Tokens are kept, so that flag servers that still run can renew their
     * leases.
     */
    private Outcome restore(Image image) {
        long restoredSeq = Math.max(seq, image.seq()) + RESTORE_VERSION_GAP;
        members.clear();
        image.members().forEach(member -> members.put(member.host(), member));
        epoch = Math.max(epoch, image.epoch()) + 1;
        seq = restoredSeq;
        hold = null;
        changeLog.reset(restoredSeq);
        return outcome(OK, null, null);
    }

    /** The conflict if the member is not at the expected version, or null. */
    private Outcome versionConflict(String host, Long expected) {
        Member member = members.get(host);
        long actual = member == null ? 0 : member.seq();
        return expected == null || expected == actual ? null
            : outcome(CONFLICT, host + " is at version " + actual + ", not at " + expected, member);
    }

    private Outcome notListed(String host) {
        return outcome(NOT_FOUND, "no member is named " + host, null);
    }

    private Outcome superseded(Member member) {
        return outcome(CONFLICT, member.host() + " has a newer registration, from "
            + member.spec().instance(), member);
    }

    private Outcome outcome(int status, String error, Member member) {
        return new Outcome(status, error, seq, member == null ? 0 : member.seq(),
            member == null ? 0 : member.token());
    }
}
