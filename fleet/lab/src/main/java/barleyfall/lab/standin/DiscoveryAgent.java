package barleyfall.lab.standin;

import barleyfall.lab.net.LabClock;
import barleyfall.lab.net.LinkHandler;
import barleyfall.lab.plan.Machine;
import barleyfall.lab.seen.Event;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The discovery agent on the machine of one edge node. It holds the list as far as it has heard of it,
 * answers at once and writes changes to the open watches. While discovery is silent, it accepts connections
 * and answers nothing.
 */
public final class DiscoveryAgent {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/catalog/members";
    private static final int HEARTBEAT_INTERVAL_MS = 2000;
    /** Written to the trace for servers that started long before the run: JSON has no infinity. */
    private static final double EARLIEST_BIRTH_MS = -1e12;

    /** A change that has not reached the agent yet. */
    private record PendingChange(AgentRegistry.Change change, double dueMs) { }

    private final int edge;
    private final LabClock clock;
    private final EventLoop loop;
    private final Function<Machine, String> dialAddress;
    private final Consumer<Event> trace;
    private final Map<String, AgentRegistry.Entry> knownServers = new LinkedHashMap<>();
    private final List<AgentRegistry.Change> changeLog = new ArrayList<>();
    private final ArrayDeque<PendingChange> pendingChanges = new ArrayDeque<>();
    private final List<ChannelHandlerContext> watches = new ArrayList<>();
    private final List<Runnable> heldRequests = new ArrayList<>();
    private double lastDueMs = Double.NEGATIVE_INFINITY;
    private long lastSeq;
    private boolean silent;

    /**
     * Creates an agent without servers.
     *
     * @param dialAddress returns the address at which this edge node finds a machine
     */
    public DiscoveryAgent(int edge, LabClock clock, EventLoop loop,
        Function<Machine, String> dialAddress, Consumer<Event> trace) {
        this.edge = edge;
        this.clock = clock;
        this.loop = loop;
        this.dialAddress = dialAddress;
        this.trace = trace;
        loop.scheduleAtFixedRate(this::sendHeartbeat, HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    }

    /** Adds the handlers of a new connection. */
    public void addHandlers(SocketChannel channel, LinkHandler handler) {
        channel.pipeline().addLast(new HttpServerCodec(), new Connection());
    }

    /** Returns the list as the agent holds it, in the JSON form of discovery. */
    public synchronized ObjectNode currentList() {
        return toJson(lastSeq, true, knownServers.values());
    }

    // ---- changes from the registry ----

    /** Queues a change that arrives at a time of the run, but not before those that are queued already. */
    synchronized void enqueue(AgentRegistry.Change change, double dueMs) {
        lastDueMs = Math.max(lastDueMs, dueMs); // changes keep their order
        pendingChanges.add(new PendingChange(change, lastDueMs));
    }

    /** Returns when the last queued change arrives. */
    synchronized double lastDueMs() {
        return lastDueMs;
    }

    /** Stops answering, or answers the requests that came meanwhile. */
    synchronized void setSilent(boolean isSilent) {
        silent = isSilent;
        if (!silent) {
            heldRequests.forEach(loop::execute);
            heldRequests.clear();
        }
    }

    /** Applies the changes that have arrived by now, unless discovery is silent. */
    synchronized void applyDueChanges() {
        List<AgentRegistry.Change> dueChanges = new ArrayList<>();
        while (!silent && !pendingChanges.isEmpty() && pendingChanges.peek().dueMs() <= clock.nowMs() + 0.5) {
            dueChanges.add(pendingChanges.poll().change());
        }
        if (!dueChanges.isEmpty()) {
            apply(dueChanges);
        }
    }

    /** Applies changes and writes them to the open watches. */
    synchronized void apply(List<AgentRegistry.Change> changes) {
        Map<String, AgentRegistry.Entry> changed = new LinkedHashMap<>();
        for (AgentRegistry.Change change : changes) {
            lastSeq = change.seq();
            changeLog.add(change);
            String id = change.entry().machine().id();
            changed.put(id, change.entry());
            if (change.entry().health().equals("left")) {
                knownServers.remove(id);
            } else {
                knownServers.put(id, change.entry());
            }
        }
        String line = toJson(lastSeq, false, changed.values()) + "\n";
        long seq = lastSeq;
        loop.execute(() -> watches.forEach(watch -> send(watch, line, seq, changed.values())));
    }

    /** Writes an empty line to the open watches, so that they see that the agent is alive. */
    private void sendHeartbeat() {
        synchronized (this) {
            if (silent) {
                return;
            }
        }
        watches.forEach(watch -> send(watch, "\n", 0, List.of()));
    }

    /** Writes a line to a watch and records the entries in it once they are written. */
    private void send(ChannelHandlerContext watch, String line, long seq,
        Collection<AgentRegistry.Entry> sentEntries) {
        watch.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)))
            .addListener(f -> {
                if (f.isSuccess()) {
                    recordSent(seq, sentEntries);
                }
            });
    }

    /** Records in the trace what was sent to the edge node. */
    private void recordSent(long seq, Collection<AgentRegistry.Entry> entries) {
        double nowMs = clock.nowMs();
        for (AgentRegistry.Entry entry : entries) {
            trace.accept(new Event.DiscoveryUpdate(nowMs, edge, entry.machine().id(), entry.health(),
                Math.max(EARLIEST_BIRTH_MS, entry.bornMs()), seq));
        }
    }

    /**
     * Builds the JSON form of a list.
     *
     * @param isFull whether these are all entries rather than changes
     */
    private ObjectNode toJson(long seq, boolean isFull, Collection<AgentRegistry.Entry> entries) {
        ObjectNode root = JSON.createObjectNode().put("seq", seq).put("whole", isFull);
        ArrayNode hosts = root.putArray("hosts");
        for (AgentRegistry.Entry entry : entries) {
            hosts.addObject().put("host", entry.machine().id())
                .put("dial", dialAddress.apply(entry.machine())).put("site", entry.machine().zone())
                .put("class", "lab").put("block", entry.machine().block()).put("health", entry.health())
                .put("share", 1.0)
                .put("born_ms", Double.isInfinite(entry.bornMs()) ? 0 : clock.toUnixMs(entry.bornMs()));
        }
        return root;
    }

    /** An HTTP/1.1 connection that asks for the full list or opens a watch. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                QueryStringDecoder query = new QueryStringDecoder(request.uri());
                Runnable answer = () -> answer(ctx, query);
                synchronized (DiscoveryAgent.this) {
                    if (silent) {
                        heldRequests.add(answer);
                        return;
                    }
                }
                answer.run();
            }
        }

        private void answer(ChannelHandlerContext ctx, QueryStringDecoder query) {
            if (!query.path().equals(PATH)) {
                DefaultFullHttpResponse notFound = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.NOT_FOUND);
                ctx.writeAndFlush(notFound).addListener(ChannelFutureListener.CLOSE);
            } else if (query.parameters().containsKey("follow")) {
                startWatch(ctx, parseSince(query));
            } else {
                answerFullList(ctx);
            }
        }

        private void answerFullList(ChannelHandlerContext ctx) {
            byte[] body;
            List<AgentRegistry.Entry> entries;
            long seq;
            synchronized (DiscoveryAgent.this) {
                entries = List.copyOf(knownServers.values());
                seq = lastSeq;
                body = toBytes(currentList());
            }
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            ctx.writeAndFlush(response).addListener(f -> {
                if (f.isSuccess()) {
                    recordSent(seq, entries);
                }
            });
        }

        /**
         * Opens a watch: first all changes since a version, or the full list if the agent no longer has them.
         */
        private void startWatch(ChannelHandlerContext ctx, long since) {
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.write(head);
            ObjectNode firstUpdate;
            Collection<AgentRegistry.Entry> sentEntries;
            long seq;
            synchronized (DiscoveryAgent.this) {
                seq = lastSeq;
                boolean changesCover = !changeLog.isEmpty() && since >= changeLog.get(0).seq()
                    && since <= lastSeq;
                Map<String, AgentRegistry.Entry> changed = new HashMap<>();
                changeLog.stream().filter(change -> change.seq() > since)
                    .forEach(change -> changed.put(change.entry().machine().id(), change.entry()));
                sentEntries = changesCover ? changed.values() : List.copyOf(knownServers.values());
                firstUpdate = toJson(seq, !changesCover, sentEntries);
                watches.add(ctx);
            }
            send(ctx, firstUpdate + "\n", seq, sentEntries);
        }

        /** Returns the version from which on changes are asked for, -1 if there is none. */
        private static long parseSince(QueryStringDecoder query) {
            try {
                return Long.parseLong(query.parameters().getOrDefault("since", List.of("-1")).get(0));
            } catch (NumberFormatException e) {
                return -1;
            }
        }

        private static byte[] toBytes(ObjectNode json) {
            try {
                return JSON.writeValueAsBytes(json);
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("a JSON tree could not be written", e);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            watches.remove(ctx);
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // reset by the edge node or by a fault
        }
    }
}
