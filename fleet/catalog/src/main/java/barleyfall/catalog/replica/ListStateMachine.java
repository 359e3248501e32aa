package barleyfall.catalog.replica;

import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.FlagList;
import barleyfall.catalog.model.Outcome;
import barleyfall.catalog.model.Page;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Raft state machine: applies committed commands to the list, in log order and on one thread, writes and
 * loads snapshots, and answers queries while this replica is the leader.
 */
final class ListStateMachine extends BaseStateMachine {
    private static final Logger LOG = LoggerFactory.getLogger(ListStateMachine.class);
    /** How many changed members a command can report to the leases. */
    private static final int MAX_CHANGES_PER_COMMAND = 10_000;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final FlagList list;
    private final Leases leases;
    /** A monotonic clock, ms. */
    private final LongSupplier clockMs;
    private final List<Runnable> changeListeners = new ArrayList<>();
    private RaftPeerId selfId;

    ListStateMachine(FlagList list, Leases leases, LongSupplier clockMs) {
        this.list = list;
        this.leases = leases;
        this.clockMs = clockMs;
    }

    /**
     * Adds a listener that is called after every change of the list, on the applying thread, so it must
     * return quickly. To be called before the replica starts.
     */
    void onChange(Runnable listener) {
        changeListeners.add(listener);
    }

    // ---- lifecycle ----

    @Override public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage)
        throws IOException {
        getLifeCycle().startAndTransition(() -> {
            super.initialize(server, group, raftStorage);
            selfId = server.getId();
            storage.init(raftStorage);
            loadLatestSnapshot();
        });
    }

    @Override public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    /** The leader has sent its snapshot because this replica was too far behind. */
    @Override public void reinitialize() throws IOException {
        getLifeCycle().startAndTransition(() -> {
            storage.loadLatestSnapshot();
            loadLatestSnapshot();
        });
        changeListeners.forEach(Runnable::run);
    }

    private void loadLatestSnapshot() throws IOException {
        SingleFileSnapshotInfo snapshot = storage.getLatestSnapshot();
        if (snapshot == null) {
            return;
        }
        File file = snapshot.getFile().getPath().toFile();
        try {
            list.load(ImageFile.read(Files.readAllBytes(file.toPath())));
        } catch (IOException damaged) {
            throw new IOException("the snapshot " + file + " cannot be used: " + damaged.getMessage(),
                damaged);
        }
        setLastAppliedTermIndex(snapshot.getTermIndex());
    }

    @Override public SimpleStateMachineStorage getStateMachineStorage() {
        return storage;
    }

    @Override public SingleFileSnapshotInfo getLatestSnapshot() {
        return storage.getLatestSnapshot();
    }

    /** Called on the thread that applies commands, so the snapshot holds the state after one of them. */
    @Override public long takeSnapshot() throws IOException {
        TermIndex lastApplied = getLastAppliedTermIndex();
        File file = storage.getSnapshotFile(lastApplied.getTerm(), lastApplied.getIndex());
        ImageFile.write(file.toPath(), list.image());
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(
            new FileInfo(file.toPath(), MD5FileUtil.computeAndSaveMd5ForFile(file)), lastApplied));
        LOG.info("wrote a snapshot at version {}: {} bytes", list.seq(), file.length());
        return lastApplied.getIndex();
    }

    // ---- proposed commands ----

    /**
     * Called on the leader before a command goes into its log. The check of the leases of a replica that no
     * longer leads, and does not know it yet, is refused where this leader has heard from the member.
     */
    @Override public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        TransactionContext context = super.startTransaction(request);
        Command command = Codec.read(request.getMessage().getContent(), Command.class);
        if (command instanceof Command.Expire expire
            && !leases.areOver(expire.ended(), clockMs.getAsLong())) {
            context.setException(new IOException("the leader knows a lease that is not over"));
        }
        return context;
    }

    // ---- committed commands ----

    @Override public CompletableFuture<Message> applyTransaction(TransactionContext context) {
        LogEntryProto entry = context.getLogEntry();
        Command command;
        try {
            command = Codec.read(entry.getStateMachineLogEntry().getLogData(), Command.class);
        } catch (IOException e) {
            // Skipping the entry would make this list differ from the other replicas' list.
            throw new UncheckedIOException("entry " + entry.getIndex()
                + " of the log cannot be read, perhaps because a later version of the program wrote it",
                e);
        }
        long seqBefore = list.seq();
        Outcome outcome = list.apply(command);
        updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
        commandApplied(seqBefore, command);
        return CompletableFuture.completedFuture(Codec.message(outcome));
    }

    /** Updates the leases and calls the listeners. */
    private void commandApplied(long seqBefore, Command command) {
        if (command instanceof Command.Restore && leases.isLeading()) {
            leases.startLeading(list.members(), false, clockMs.getAsLong());
        }
        Page changes = list.page(list.epoch(), seqBefore, MAX_CHANGES_PER_COMMAND);
        if (!changes.whole()) {
            changes.members().forEach(member -> leases.memberChanged(member, clockMs.getAsLong()));
        }
        if (command instanceof Command.Hold hold) {
            if (hold.on()) {
                LOG.warn("mass loss guard: {} of {} members are missing; no lease expires until they are "
                    + "back or an operator says that they are gone", hold.missing(), hold.memberCount());
            } else {
                LOG.info("mass loss guard: leases expire again: {}", hold.why());
                if (hold.why().equals(Replica.OPERATOR)) {
                    leases.declareMissingGone(clockMs.getAsLong());
                }
            }
        }
        if (list.seq() != seqBefore || command instanceof Command.Initialize) {
            changeListeners.forEach(Runnable::run);
        }
    }

    // ---- leadership and queries ----

    @Override public void notifyLeaderReady() {
        LOG.info("this replica is the leader now; every member has a full lease");
        leases.startLeading(list.members(), list.hold() != null, clockMs.getAsLong());
    }

    @Override public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        if (!leader.equals(selfId)) {
            leases.stopLeading();
        }
    }

    @Override public CompletableFuture<Message> query(Message request) {
        Query query;
        try {
            query = Codec.read(request.getContent(), Query.class);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (!leases.isLeading()) {
            return CompletableFuture.failedFuture(
                new IOException("this replica is not the leader, or not ready yet"));
        }
        long nowMs = clockMs.getAsLong();
        List<Boolean> renewed = new ArrayList<>();
        query.renew().forEach(renewal ->
            renewed.add(leases.renew(renewal.host(), renewal.token(), nowMs)));
        return CompletableFuture.completedFuture(Codec.message(
            new Query.Answer(renewed, list.seq(), query.image() ? ImageFile.bytes(list.image()) : null)));
    }

    /**
     * The log could not be written. The process exits, because it no longer knows what the disk holds.
     */
    @Override public void notifyLogFailed(Throwable cause, LogEntryProto entry) {
        LOG.error("the log cannot be written; is the disk full or failing? this replica exits", cause);
        Replica.exitOnLogFailure();
    }
}
