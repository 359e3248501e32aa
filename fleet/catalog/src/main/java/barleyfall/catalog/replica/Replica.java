package barleyfall.catalog.replica;

import barleyfall.catalog.client.CatalogClient;
import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.FlagList;
import barleyfall.catalog.model.Image;
import barleyfall.catalog.model.Outcome;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.proto.RaftProtos.RoleInfoProto;
import org.apache.ratis.proto.RaftProtos.ServerRpcProto;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One replica of the list service: its Raft server, the list as this replica knows it, and how stale that may
 * be. Writes and renewals may be sent to any replica; its Raft client forwards them to the leader.
 */
public final class Replica implements AutoCloseable {
    /**
     * The reason in a {@link Command.Hold} by which an operator releases the held leases. Replicas compare it
     * when they apply the command, so it must stay the same in all builds.
     */
    static final String OPERATOR = "an operator's word";
    private static final Logger LOG = LoggerFactory.getLogger(Replica.class);
    /** Derived from a name that must not change, because the data directories contain the id. */
    private static final UUID GROUP_UUID =
        UUID.nameUUIDFromBytes("barleyfall catalog".getBytes(StandardCharsets.UTF_8));
    private static final RaftGroupId GROUP_ID = RaftGroupId.valueOf(GROUP_UUID);
    private static final int LEASE_CHECK_INTERVAL_MS = 100;
    private static final int WRITE_RETRY_DELAY_MS = 50;
    private static final int EXIT_CODE_LOG_FAILURE = 3;
    /** Between two records of the flushed log index, and between two requests to join. */
    private static final int BACKGROUND_INTERVAL_MS = 1000;
    private static final int MAX_CONCURRENT_CALLS = 64;

    private final Settings settings;
    private final FlagList list;
    private final Leases leases;
    private final DataDirectory dataDirectory;
    private final List<RaftPeer> peers;
    private final RaftServer server;
    private final RaftClient client;
    private final ScheduledExecutorService leaseTimer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "leases");
        thread.setDaemon(true);
        return thread;
    });
    /** Has its own thread, because a disk that is slow to sync must not delay renewals. */
    private final ScheduledExecutorService flushRecorder =
        Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "notes");
            thread.setDaemon(true);
            return thread;
        });
    private final ExecutorService callExecutor = Executors.newFixedThreadPool(MAX_CONCURRENT_CALLS, task -> {
        Thread thread = new Thread(task, "calls");
        thread.setDaemon(true);
        return thread;
    });
    private final ExecutorService membershipExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "admissions");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicBoolean proposalPending = new AtomicBoolean();
    private final List<PendingRenewal> pendingRenewals = new ArrayList<>();
    /** Whether a query with renewals is under way; guarded by {@code pendingRenewals}. */
    private boolean renewalInFlight;
    private final long startedAtMs = monotonicMs();
    /** Whether this replica has ever heard from a leader, or as the leader from a majority. */
    private volatile boolean hadContact;
    private volatile long lastContactAtMs = startedAtMs;
    private long recordedFlushedIndex = -1;

    /** A renewal that waits to be sent, or for its answer. */
    private record PendingRenewal(Query.Renewal renewal, CompletableFuture<Boolean> renewed) { }

    /**
     * Starts the replica. If it cannot start, the exception says what an operator must do.
     *
     * @param newList whether a replica without data creates a new list instead of joining the others
     * @param onChange called after every change of the list; must return quickly
     */
    public Replica(Settings settings, boolean newList, Runnable onChange) throws IOException {
        this.settings = settings;
        list = new FlagList(settings.listing().maxMembers(), settings.listing().maxChanges());
        leases = new Leases(settings.leasing(), new MassLossGuard(settings.guarding()));
        ListStateMachine stateMachine = new ListStateMachine(list, leases, Replica::monotonicMs);
        stateMachine.onChange(onChange);
        peers = settings.replicas().stream()
            .map(peer -> RaftPeer.newBuilder().setId(peer.id()).setAddress(peer.raft()).build()).toList();
        RaftGroup group = RaftGroup.valueOf(GROUP_ID, peers);
        RaftProperties properties = properties(settings);
        dataDirectory = new DataDirectory(settings.dir(), GROUP_UUID);
        DataDirectory.StartMode startMode = dataDirectory.prepare(newList);
        if (startMode == DataDirectory.StartMode.JOINER && settings.replicas().size() == 1) {
            throw new IOException(settings.dir()
                + " is empty and there is no other replica to copy the list from; "
                + "pass --found to create a new list");
        }
        try {
            if (startMode == DataDirectory.StartMode.MEMBER) {
                dataDirectory.verifyLogTail();
            }
            server = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(settings.id()))
                .setGroup(startMode == DataDirectory.StartMode.JOINER ? RaftGroup.valueOf(GROUP_ID) : group)
                .setStateMachine(stateMachine).setProperties(properties)
                .setOption(RaftStorage.StartupOption.RECOVER).build();
            server.start();
        } catch (IOException | RuntimeException damaged) {
            throw new IOException("replica " + settings.id() + " cannot start from " + settings.dir() + ": "
                + messageWithRootCause(damaged) + "\nIf the directory is damaged, move it aside and start "
                + "again: the replica then copies the list from the others. Do this with one replica at a "
                + "time, and never while a majority is down", damaged);
        }
        client = RaftClient.newBuilder().setRaftGroup(group).setProperties(properties)
            .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(
                settings.timing().writeTimeoutMs() / WRITE_RETRY_DELAY_MS,
                TimeDuration.valueOf(WRITE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS)))
            .build();
        leaseTimer.scheduleWithFixedDelay(this::checkLeases, LEASE_CHECK_INTERVAL_MS,
            LEASE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (startMode == DataDirectory.StartMode.JOINER) {
            LOG.warn("{} is empty: asking the others to take this replica in anew; to create a new list, "
                + "pass --found to each replica", settings.dir());
            membershipExecutor.execute(this::joinGroup);
        } else {
            startRecordingFlushes();
        }
    }

    private void startRecordingFlushes() {
        flushRecorder.scheduleWithFixedDelay(this::recordFlushedIndex, BACKGROUND_INTERVAL_MS,
            BACKGROUND_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void recordFlushedIndex() {
        try {
            long flushed = server.getDivision(GROUP_ID).getRaftLog().getFlushIndex();
            if (flushed > recordedFlushedIndex) {
                dataDirectory.recordFlushedIndex(flushed);
                recordedFlushedIndex = flushed;
            }
        } catch (IOException e) {
            LOG.warn("could not record up to which entry the log is flushed; trying again", e);
        }
    }

    /** Asks the other replicas in turn, until one of them has added this replica to the group again. */
    private void joinGroup() {
        List<String> others = settings.replicas().stream()
            .filter(peer -> !peer.id().equals(settings.id()))
            .map(Settings.Peer::http).toList();
        for (int i = 0; !isMember(); i++) {
            try {
                CatalogClient.Response response = new CatalogClient(List.of(others.get(i % others.size())),
                    Duration.ofMillis(4L * settings.timing().writeTimeoutMs()))
                    .post("rejoin", CatalogClient.newBody().put("id", settings.id()));
                if (!response.isOk()) {
                    LOG.info("not a member of the group yet: {}", response.error());
                }
            } catch (IOException unreachable) {
                LOG.info("not a member of the group yet: {}", unreachable.getMessage());
            }
            try {
                Thread.sleep(BACKGROUND_INTERVAL_MS);
            } catch (InterruptedException closed) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        try {
            dataDirectory.markJoined();
        } catch (IOException e) {
            LOG.warn("joined the group, but will ask again at the next start", e);
        }
        LOG.info("joined the group; the list is at version {}", list.seq());
        startRecordingFlushes();
    }

    private boolean isMember() {
        try {
            return list.epoch() > 0 && server.getDivision(GROUP_ID).getRaftConf().getCurrentPeers().stream()
                .anyMatch(peer -> peer.getId().toString().equals(settings.id()));
        } catch (IOException notYet) {
            return false;
        }
    }

    /**
     * Lets a replica that lost its data join again: removes it from the Raft group, so that none of its
     * earlier votes counts, and adds it again, for which it first receives the list. False if this replica
     * has no list, or knows no replica of that id.
     */
    public CompletableFuture<Boolean> readmit(String id) {
        if (list.epoch() == 0 || settings.peer(id) == null) {
            return CompletableFuture.completedFuture(false);
        }
        return CompletableFuture.supplyAsync(() -> {
            try {
                requireSuccess(client.admin().setConfiguration(
                    peers.stream().filter(peer -> !peer.getId().toString().equals(id)).toList()));
                requireSuccess(client.admin().setConfiguration(peers));
                LOG.info("replica {} has joined the group again", id);
                return true;
            } catch (IOException e) {
                throw new CompletionException(e);
            }
        }, membershipExecutor);
    }

    private static void requireSuccess(RaftClientReply reply) throws IOException {
        if (!reply.isSuccess()) {
            throw new IOException(String.valueOf(reply.getException()));
        }
    }

    private static RaftProperties properties(Settings settings) {
        RaftProperties properties = new RaftProperties();
        int electionTimeoutMs = settings.timing().electionTimeoutMs();
        RaftServerConfigKeys.setStorageDir(properties, List.of(settings.dir().toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, ms(electionTimeoutMs));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, ms(2 * electionTimeoutMs));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, ms(electionTimeoutMs / 2));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, ms(electionTimeoutMs));
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, ms(Math.max(1000, 2 * electionTimeoutMs)));
        RaftServerConfigKeys.Rpc.setSleepTime(properties, ms(electionTimeoutMs / 3));
        RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        RaftServerConfigKeys.Read.setTimeout(properties, ms(settings.timing().writeTimeoutMs()));
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties,
            settings.listing().snapshotEveryEntries());
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties,
            Math.max(1, settings.listing().snapshotEveryEntries() / 2));
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("8MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, ms(2 * electionTimeoutMs));
        String raftAddress = settings.self().raft();
        GrpcConfigKeys.Server.setHost(properties, raftAddress.substring(0, raftAddress.lastIndexOf(':')));
        GrpcConfigKeys.Server.setPort(properties,
            Integer.parseInt(raftAddress.substring(raftAddress.lastIndexOf(':') + 1)));
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf("64MB"));
        return properties;
    }

    private static TimeDuration ms(int durationMs) {
        return TimeDuration.valueOf(durationMs, TimeUnit.MILLISECONDS);
    }

    private static String messageWithRootCause(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return failure.getMessage() == null || cause == failure ? String.valueOf(cause.getMessage())
            : failure.getMessage() + " (" + cause.getMessage() + ")";
    }

    /** Exits at once, without shutdown hooks: what this replica has stored is no longer known. */
    static void exitOnLogFailure() {
        Runtime.getRuntime().halt(EXIT_CODE_LOG_FAILURE);
    }

    /** The time of a monotonic clock, ms. */
    static long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** The settings of this replica. */
    public Settings settings() {
        return settings;
    }

    /** The list as this replica knows it, which may be stale; see {@link #ageMs}. */
    public FlagList list() {
        return list;
    }

    // ---- role and staleness ----

    private RoleInfoProto role() {
        try {
            return server.getDivision(GROUP_ID).getInfo().getRoleInfoProto();
        } catch (IOException closed) {
            return RoleInfoProto.getDefaultInstance();
        }
    }

    /** The role in Raft: {@code LEADER}, {@code FOLLOWER} or {@code CANDIDATE}. */
    public String roleName() {
        return role().getRole().name();
    }

    /** The leader as far as this replica knows, or null. */
    public Settings.Peer leader() {
        try {
            RaftPeerId id = server.getDivision(GROUP_ID).getInfo().getLeaderId();
            return id == null ? null : settings.peer(id.toString());
        } catch (IOException closed) {
            return null;
        }
    }

    /**
     * For how long, in ms, this replica can have missed changes: the time since it heard from the leader, or
     * for the leader, since it heard from enough followers to form a majority with it. A replica that has
     * heard from none counts from its start.
     */
    public long ageMs() {
        RoleInfoProto role = role();
        long nowMs = monotonicMs();
        long sinceContactMs = -1;
        if (role.getRole() == RaftPeerRole.LEADER) {
            int neededFollowers = settings.replicas().size() / 2;
            long[] elapsedMs = role.getLeaderInfo().getFollowerInfoList().stream()
                .mapToLong(ServerRpcProto::getLastRpcElapsedTimeMs).sorted().toArray();
            sinceContactMs = neededFollowers == 0 ? 0
                : elapsedMs.length < neededFollowers ? -1 : elapsedMs[neededFollowers - 1];
        } else if (leader() != null && role.getFollowerInfo().hasLeaderInfo()) {
            sinceContactMs = role.getFollowerInfo().getLeaderInfo().getLastRpcElapsedTimeMs();
        }
        if (sinceContactMs >= 0 && nowMs - sinceContactMs > lastContactAtMs) {
            // Remembered, because Ratis no longer reports it once the leader is unknown.
            lastContactAtMs = nowMs - sinceContactMs;
            hadContact = true;
        }
        return nowMs - lastContactAtMs;
    }

    /** Whether the list of this replica may be older than the settings allow. */
    public boolean stale() {
        return ageMs() > settings.timing().staleAfterMs() || !hadContact;
    }

    /** Whether this replica has a list to serve: it has stored one, or has heard from a leader. */
    public boolean hasList() {
        return hadContact || list.seq() > 0;
    }

    // ---- writes and queries ----

    /**
     * Proposes a command. Completes with its result once it is committed and applied. If the future fails,
     * the command may have been applied or may yet be, but always as a whole.
     */
    public CompletableFuture<Outcome> write(Command command) {
        return call(() -> client.io().send(Codec.message(command)), Outcome.class);
    }

    private CompletableFuture<Query.Answer> query(Query query) {
        return call(() -> client.io().sendReadOnly(Codec.message(query)), Query.Answer.class);
    }

    private interface RaftCall {
        RaftClientReply make() throws IOException;
    }

    /**
     * Makes each call on a thread of its own, because with Ratis's ordered asynchronous calls one that is
     * stuck blocks all later ones.
     */
    private <T> CompletableFuture<T> call(RaftCall call, Class<T> type) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                RaftClientReply reply = call.make();
                requireSuccess(reply);
                return Codec.read(reply.getMessage().getContent(), type);
            } catch (IOException e) {
                throw new CompletionException(e);
            }
        }, callExecutor).orTimeout(settings.timing().writeTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    /** A linearizable read of the whole list at the leader: every write that completed before is in it. */
    public CompletableFuture<Image> freshImage() {
        return query(new Query(List.of(), true)).thenApply(answer -> {
            try {
                return ImageFile.read(answer.image());
            } catch (IOException e) {
                throw new CompletionException(e);
            }
        });
    }

    /**
     * Renews a lease at the leader; false if the member must register again. Renewals that arrive while a
     * query is under way are sent together in the next one.
     */
    public CompletableFuture<Boolean> renew(String host, long token) {
        CompletableFuture<Boolean> renewed = new CompletableFuture<>();
        boolean sendNow;
        synchronized (pendingRenewals) {
            pendingRenewals.add(new PendingRenewal(new Query.Renewal(host, token), renewed));
            sendNow = !renewalInFlight;
            renewalInFlight = true;
        }
        if (sendNow) {
            sendPendingRenewals();
        }
        return renewed;
    }

    private void sendPendingRenewals() {
        List<PendingRenewal> batch;
        synchronized (pendingRenewals) {
            batch = List.copyOf(pendingRenewals);
            pendingRenewals.clear();
            if (batch.isEmpty()) {
                renewalInFlight = false;
                return;
            }
        }
        query(new Query(batch.stream().map(PendingRenewal::renewal).toList(), false))
            .whenCompleteAsync((answer, failure) -> {
                for (int i = 0; i < batch.size(); i++) {
                    if (failure != null) {
                        batch.get(i).renewed().completeExceptionally(failure);
                    } else {
                        batch.get(i).renewed().complete(answer.renewed().get(i));
                    }
                }
                sendPendingRenewals();
            }, leaseTimer);
    }

    /** An operator says that the members whose leases the guard holds are gone, so that they expire. */
    public CompletableFuture<Outcome> releaseHold() {
        return write(new Command.Hold(false, 0, 0, System.currentTimeMillis(), OPERATOR));
    }

    // ---- leases, on the leader ----

    private void checkLeases() {
        try {
            if (!leases.isLeading() || proposalPending.get()) {
                return;
            }
            Leases.CheckResult check = leases.check(monotonicMs());
            if (list.epoch() == 0) {
                // The current time is greater than the epoch of any list that was lost with all its replicas.
                propose(new Command.Initialize(System.currentTimeMillis()));
                return;
            }
            boolean holding = list.hold() != null;
            if (check.hold() != holding) {
                propose(new Command.Hold(check.hold(), check.missing(), check.memberCount(),
                    System.currentTimeMillis(),
                    check.hold() ? "too many members are missing at once" : "enough members are back"));
            } else if (!check.expired().isEmpty()) {
                propose(new Command.Expire(check.expired()));
            }
        } catch (RuntimeException e) {
            LOG.error("the check of the leases failed; it is repeated", e);
        }
    }

    private void propose(Command command) {
        proposalPending.set(true);
        write(command).whenComplete((outcome, failure) -> {
            proposalPending.set(false);
            if (failure != null) {
                LOG.warn("a command was not committed, it is proposed again later: {}", failure.toString());
            }
        });
    }

    @Override public void close() throws IOException {
        leaseTimer.shutdownNow();
        flushRecorder.shutdownNow();
        membershipExecutor.shutdownNow();
        callExecutor.shutdownNow();
        client.close();
        server.close();
    }
}
