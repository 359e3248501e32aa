package willowyoke.net;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.async.NonBlockingJsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import willowyoke.Gateway;

/**
 * Keeps the list of flag servers up to date: takes the list of the configuration first, then gets the
 * complete list from discovery, and then follows its changes by a watch, which is renewed whenever it ends.
 * Several addresses are those of the replicas of one list service. The watch goes on at the next replica when
 * the current one is silent, refuses, is behind the known version, or says that its list is stale. The
 * version of the list never goes back, unless a new epoch has begun.
 */
final class DiscoveryClient {
    private static final String PATH = "/catalog/members";
    /**
     * A watch sends a line every 2 s, so one that is silent for half as long again is dead. Changes missed on
     * a dead watch have to be known within 6 s of its last line: this timeout, a reconnect delay and one
     * connect that fails together take less.
     */
    private static final double WATCH_SILENCE_TIMEOUT_MS = 3000;
    /** So long a call without an answer is kept open beside the newer ones that are made meanwhile. */
    private static final double MAX_ANSWER_WAIT_MS = 30_000;
    private static final double CHECK_INTERVAL_MS = 250;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** How long after a connect that failed on this machine the next one is made. */
    private static final double LOCAL_RETRY_DELAY_MS = 50;
    private static final double MIN_BACKOFF_MS = 200;
    /**
     * What a replica has to tell counts as told the moment that it is back, and a drain has to take effect
     * within some hundred milliseconds of that.
     */
    private static final double MAX_BACKOFF_MS = 400;
    /** No list is as long as this; a connection whose list exceeds it is closed. */
    private static final int MAX_LIST_BYTES = 8 << 20;

    /** A member of the list: a server as the decision module knows it, and the address where it listens. */
    record Member(Gateway.Server server, InetSocketAddress address) { }

    private final EdgeNode node;
    private final Connector connector;
    private final Random random;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private List<InetSocketAddress> addresses;
    private int addressIndex;
    /** How many replicas in a row have said that their list is stale. */
    private int staleReplicasInRow;
    /** The newest call; null while the next one is awaited. */
    private Call current;
    /** An older call that has no answer yet but may still get one, or null. */
    private Call slow;
    private Future<?> scheduledConnect;
    private long version = -1;
    private long epoch; // 0: the list has no epoch
    /** Set after the module has refused a list: the next replica is then asked for its complete list. */
    private boolean needsCompleteList;
    /** The starts of the listed servers, by their ids. */
    private final Map<String, Start> serverStarts = new HashMap<>();
    private double backoffMs = MIN_BACKOFF_MS;

    /** Starts at a random address, so that the edge nodes don't all connect to the first replica. */
    DiscoveryClient(EdgeNode node, EventLoopGroup group, List<InetSocketAddress> addresses, long seed) {
        this.node = node;
        this.addresses = addresses;
        random = new Random(seed);
        addressIndex = random.nextInt(addresses.size());
        connector = new Connector(group, CONNECT_TIMEOUT_MS);
    }

    /** Completes when discovery itself, rather than the configuration, has given a list. */
    CompletableFuture<Void> ready() {
        return ready;
    }

    /**
     * Connects. Until discovery answers, the list of the configuration is used, which may be old; null where
     * there is none.
     */
    void start(JsonNode initialMembers) {
        if (initialMembers != null) {
            applyList(addresses.get(addressIndex), initialMembers);
        }
        connect();
        checkWatch();
    }

    /**
     * Goes on at other addresses at once, from the version that is known. A scheduled connect is cancelled
     * and the connection closed, as they belong to the old addresses; what these still send is ignored.
     */
    void changeAddresses(List<InetSocketAddress> newAddresses) {
        if (newAddresses.equals(addresses)) {
            return;
        }
        addresses = newAddresses;
        addressIndex %= newAddresses.size();
        backoffMs = MIN_BACKOFF_MS;
        if (scheduledConnect != null) {
            scheduledConnect.cancel(false);
        }
        Call previous = current;
        current = null;
        cancel(previous);
        dropSlowCall();
        connect();
    }

    private static void cancel(Call call) {
        if (call != null) {
            call.connect.cancel();
        }
    }

    private void dropSlowCall() {
        Call dropped = slow;
        slow = null;
        cancel(dropped);
    }

    /** Connects, unless there is a connection or one is already scheduled. */
    void ensureWatching() {
        if (current == null && scheduledConnect == null) {
            connect();
        }
    }

    private void checkWatch() {
        node.schedule(CHECK_INTERVAL_MS, this::checkWatch);
        node.wallClock().sample();
        if (current != null && current.silentMs() > WATCH_SILENCE_TIMEOUT_MS) {
            if (current.answered || slow != null) {
                current.channel.close();
            } else {
                callAgain();
            }
        }
        if (slow != null && slow.silentMs() > MAX_ANSWER_WAIT_MS) {
            dropSlowCall();
        }
    }

    /**
     * Makes a new call beside one that has no answer yet: discovery may be slow, so that giving up each call
     * would never lead to an answer, or it may have lost this one.
     */
    private void callAgain() {
        slow = current;
        current = null;
        addressIndex = (addressIndex + 1) % addresses.size();
        connect();
    }

    /** Notes that something has come on a call, which is the only one from then on. */
    private void answered(Call call) {
        call.answered = true;
        call.lastHeardAtMs = node.nowMs();
        if (call == slow) {
            Call newer = current;
            slow = null;
            current = call;
            if (scheduledConnect != null) {
                scheduledConnect.cancel(false);
                scheduledConnect = null;
            }
            cancel(newer);
        } else {
            dropSlowCall();
        }
    }

    private void connect() {
        scheduledConnect = null;
        if (current != null) {
            return;
        }
        Call call = new Call(addresses.get(addressIndex));
        call.connect = connector.connect(call.address,
            newChannel -> newChannel.pipeline()
                .addLast(node.workHandler(), new HttpClientCodec(), new ResponseHandler(call)),
            newChannel -> { }, cause -> connectFailed(call, cause));
        current = call;
    }

    /** A failure of this machine tells nothing of the replica, so the same one is tried again soon. */
    private void connectFailed(Call call, Throwable cause) {
        if (call == current && Connector.isLocalFailure(cause)) {
            node.countLocalFailure("connect");
            current = null;
            scheduledConnect = node.schedule(LOCAL_RETRY_DELAY_MS, this::connect);
        } else {
            callEnded(call);
        }
    }

    /** A call to discovery: a connect, then its connection, with a request and its answer. */
    private final class Call {
        private final InetSocketAddress address;
        private Connector.Connect connect;
        /** Null until the connection is open. */
        private Channel channel;
        /** When something last came, or the request was sent. */
        private double lastHeardAtMs;
        /** Whether something has come since the request. */
        private boolean answered;

        Call(InetSocketAddress address) {
            this.address = address;
        }

        /** False once the addresses have changed, or another call has the answer: what comes is ignored. */
        private boolean isLive() {
            return this == current || this == slow;
        }

        /** For how long nothing has come; 0 before the request. */
        private double silentMs() {
            return channel == null ? 0 : node.nowMs() - lastHeardAtMs;
        }
    }

    /**
     * Schedules a connect to the next address. The delay is random, or all edge nodes would reconnect at the
     * same moment.
     */
    private void callEnded(Call call) {
        node.invariants().checkEventLoop("the end of a connection to discovery");
        if (call == slow) {
            slow = null; // the newer call goes on
            return;
        }
        if (call != current) {
            return; // it was closed by a change of the addresses, or for another call
        }
        current = null;
        addressIndex = (addressIndex + 1) % addresses.size();
        scheduledConnect = node.schedule(backoffMs * (0.5 + random.nextDouble()), this::connect);
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        node.discoveryFailed();
        node.flushChannels();
    }

    /**
     * Applies a complete list or a change of the list. False where it is malformed, of an older epoch or
     * version than the known one, or refused by the module.
     */
    private boolean applyList(InetSocketAddress replica, JsonNode update) {
        if (!update.path("hosts").isArray()) {
            return false;
        }
        long updateEpoch = update.path("epoch").asLong();
        if (updateEpoch > 0 && (updateEpoch < epoch
            || updateEpoch == epoch && update.path("seq").asLong() < version)) {
            node.logError("discovery", new IllegalStateException(replica
                + " is behind: epoch " + updateEpoch + ", version " + update.path("seq").asLong()
                + ", where " + epoch + ", " + version + " is known"));
            return false;
        }
        List<Member> members = new ArrayList<>();
        for (JsonNode host : update.get("hosts")) {
            try {
                members.add(parseMember(host));
            } catch (IllegalArgumentException e) {
                node.logError("discovery", e); // the other members are still of use
            }
        }
        if (!node.applyServerList(members, update.path("whole").asBoolean(), updateEpoch == 0 ? null
            : new Gateway.ListSource(replica.toString(), updateEpoch,
                update.path("seq").asLong()))) {
            needsCompleteList = true;
            return false;
        }
        if (update.path("whole").asBoolean()) {
            serverStarts.keySet().retainAll(
                members.stream().map(member -> member.server().id()).collect(Collectors.toSet()));
        }
        members.stream().filter(member -> member.server().state() == Gateway.ServerState.GONE)
            .forEach(member -> serverStarts.remove(member.server().id()));
        version = update.path("seq").asLong(version);
        epoch = updateEpoch;
        return true;
    }

    /** When a server started, as discovery tells it and on the node's clock. */
    private record Start(double unixMs, double nodeMs) { }

    /** Converts the start of a server once, so that it stays the same in all lists that tell the same. */
    private double startedAtMs(String serverId, double startedUnixMs) {
        if (startedUnixMs <= 0) {
            return 0; // long ago
        }
        Start start = serverStarts.get(serverId);
        if (start == null || start.unixMs() != startedUnixMs) {
            start = new Start(startedUnixMs, node.wallClock().toNodeMs(startedUnixMs));
            serverStarts.put(serverId, start);
        }
        return start.nodeMs();
    }

    private Member parseMember(JsonNode host) {
        Gateway.ServerState state = switch (host.path("health").asText()) {
            case "active" -> Gateway.ServerState.UP;
            case "left" -> Gateway.ServerState.GONE;
            // "leaving", or a value added in the future, for which it is safe to send no new requests
            default -> Gateway.ServerState.DRAINING;
        };
        String address = host.path("dial").asText("");
        String id = host.path("host").asText();
        return new Member(new Gateway.Server(id, host.path("block").asInt(), host.path("site").asText(),
            state, host.path("class").asText(), startedAtMs(id, host.path("born_ms").asDouble()),
            host.path("share").asDouble(1)),
            state == Gateway.ServerState.GONE && address.isEmpty() ? null : Config.parseAddress(address));
    }

    /**
     * Reads the responses on a connection: JSON values one after another, with any white space and cut into
     * chunks anywhere. Only complete values are applied: a reset within one never counts as its end, whatever
     * the codec makes of it.
     */
    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final NonBlockingJsonParser parser = newParser();
        private TokenBuffer value = new TokenBuffer(Config.JSON, false);
        private int valueBytes;
        private final Call call;
        /** Whether the request was for a watch, rather than for the complete list. */
        private boolean watching;
        private boolean statusOk;

        ResponseHandler(Call call) {
            this.call = call;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            if (call.isLive()) {
                call.channel = ctx.channel();
                sendRequest(ctx);
            } else {
                ctx.close();
            }
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            call.lastHeardAtMs = node.nowMs();
            call.answered = false;
            watching = version >= 0 && !needsCompleteList;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                watching ? PATH + "?follow=1&since=" + version + (epoch > 0 ? "&epoch=" + epoch : "") : PATH);
            request.headers()
                .set(HttpHeaderNames.HOST, call.address.getHostString() + ":" + call.address.getPort());
            ctx.writeAndFlush(request);
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) throws IOException {
            if (!call.isLive()) {
                return; // from an address that is no longer used, or too late
            }
            answered(call);
            if (msg instanceof HttpResponse response) {
                statusOk = response.status().code() == 200;
            }
            if (msg instanceof HttpContent content && statusOk && content.content().isReadable()) {
                parse(ctx, ByteBufUtil.getBytes(content.content()));
            }
            if (msg instanceof LastHttpContent) {
                if (statusOk && !watching && version >= 0 && !needsCompleteList && ctx.channel().isActive()) {
                    sendRequest(ctx); // the complete list is known: the watch goes on from it
                } else {
                    ctx.close();
                }
            }
        }

        private void parse(ChannelHandlerContext ctx, byte[] bytes) throws IOException {
            valueBytes += bytes.length;
            parser.feedInput(bytes, 0, bytes.length);
            boolean onlyWhiteSpace = parser.getParsingContext().inRoot();
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
                onlyWhiteSpace = false;
                value.copyCurrentEvent(parser);
                if (parser.getParsingContext().inRoot()) {
                    JsonNode update = value.asParser(Config.JSON).readValueAsTree();
                    value = new TokenBuffer(Config.JSON, false);
                    valueBytes = 0;
                    handleUpdate(ctx, update);
                }
            }
            if (onlyWhiteSpace) { // a heartbeat: nothing has changed
                valueBytes = 0;
                backoffMs = MIN_BACKOFF_MS;
                ready.complete(null);
            } else if (valueBytes > MAX_LIST_BYTES) {
                ctx.close();
            }
        }

        private void handleUpdate(ChannelHandlerContext ctx, JsonNode update) {
            if (applyList(call.address, update)) {
                needsCompleteList = false;
                backoffMs = MIN_BACKOFF_MS;
                ready.complete(null);
            } else if (needsCompleteList || addresses.size() > 1) {
                ctx.close();
            }
            staleReplicasInRow = update.path("stale").asBoolean() ? staleReplicasInRow + 1 : 0;
            if (staleReplicasInRow > 0 && staleReplicasInRow < addresses.size()) {
                ctx.close(); // another replica may know more; where all are stale, this one is kept
            }
        }

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            node.flushChannels();
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            callEnded(call);
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException) || cause instanceof JacksonException) {
                node.logError("discovery", cause);
            }
            ctx.close();
        }
    }

    private static NonBlockingJsonParser newParser() {
        try {
            return (NonBlockingJsonParser) Config.JSON.getFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen, as nothing is opened
        }
    }
}
