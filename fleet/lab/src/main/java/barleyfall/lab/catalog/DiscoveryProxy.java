package barleyfall.lab.catalog;

import barleyfall.lab.net.LabClock;
import barleyfall.lab.seen.Event;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Proxy between an edge node and a replica of the list service. It replaces the addresses of the flag servers
 * by those at which this edge node finds them, and records what the edge node was sent. Changes on an open
 * watch are delayed by the propagation time of the platform's discovery.
 */
public final class DiscoveryProxy extends ChannelInboundHandlerAdapter {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Start time of a flag server that is older than the run. */
    private static final double OLDER_THAN_RUN_MS = -1e12;
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final int edge;
    private final InetSocketAddress replica;
    private final UnaryOperator<String> serverAddress;
    private final double propagationMs;
    private final LabClock clock;
    private final Consumer<Event> trace;
    private final ArrayDeque<HttpRequest> pendingRequests = new ArrayDeque<>();
    private Channel replicaChannel;
    private boolean connecting;
    private double nextSendMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates the handler of one connection.
     *
     * @param serverAddress maps the id of a flag server to the address at which the edge node finds it
     * @param propagationMs delay of the changes on a watch
     */
    public DiscoveryProxy(int edge, InetSocketAddress replica, UnaryOperator<String> serverAddress,
        double propagationMs, LabClock clock, Consumer<Event> trace) {
        this.edge = edge;
        this.replica = replica;
        this.serverAddress = serverAddress;
        this.propagationMs = propagationMs;
        this.clock = clock;
        this.trace = trace;
    }

    /** Replaces the addresses in a list by those at which an edge node finds the flag servers. */
    public static ObjectNode withServerAddresses(JsonNode list, UnaryOperator<String> serverAddress) {
        list.path("hosts").forEach(member -> ((ObjectNode) member)
            .put("dial", serverAddress.apply(member.path("host").asText())));
        return (ObjectNode) list;
    }

    @Override public void channelRead(ChannelHandlerContext edgeContext, Object message) {
        if (message instanceof HttpRequest request) {
            pendingRequests.add(request);
            if (replicaChannel != null) {
                forwardRequests();
            } else if (!connecting) {
                connect(edgeContext);
            }
        }
        ReferenceCountUtil.release(message);
    }

    private void forwardRequests() {
        for (HttpRequest request = pendingRequests.poll(); request != null;
            request = pendingRequests.poll()) {
            DefaultFullHttpRequest copy =
                new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri());
            copy.headers().set(request.headers());
            replicaChannel.writeAndFlush(copy);
        }
    }

    private void connect(ChannelHandlerContext edgeContext) {
        connecting = true;
        new Bootstrap().group(edgeContext.channel().eventLoop()).channel(EpollSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel c) {
                    c.pipeline().addLast(new HttpClientCodec(), new ReplicaResponseHandler(edgeContext));
                }
            }).connect(replica).addListener(connected -> {
                connecting = false;
                if (connected.isSuccess()) {
                    replicaChannel = ((ChannelFuture) connected).channel();
                    forwardRequests();
                }
                if (!connected.isSuccess() || !edgeContext.channel().isActive()) {
                    // the replica refused the connection: reset this one
                    edgeContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    edgeContext.close();
                }
            });
    }

    @Override public void channelInactive(ChannelHandlerContext edgeContext) {
        if (replicaChannel != null) {
            replicaChannel.close();
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext edgeContext, Throwable cause) {
        edgeContext.close(); // reset by the edge node or by a fault
    }

    /** Handles the response of the replica line by line. */
    private final class ReplicaResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final ChannelHandlerContext edgeContext;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private boolean firstLineSent;

        ReplicaResponseHandler(ChannelHandlerContext edgeContext) {
            this.edgeContext = edgeContext;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx,
            HttpObject message) throws IOException {
            if (message instanceof HttpResponse response) {
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                edgeContext.writeAndFlush(head);
            }
            if (message instanceof HttpContent content) {
                ByteBuf in = content.content();
                while (in.isReadable()) {
                    int end = in.bytesBefore((byte) '\n');
                    in.readBytes(line, end < 0 ? in.readableBytes() : end);
                    if (end >= 0) {
                        in.skipBytes(1);
                        finishLine("\n");
                    }
                }
            }
            if (message instanceof LastHttpContent) {
                if (line.size() > 0) {
                    finishLine("");
                }
                firstLineSent = false; // the next response on this connection begins with the current list
                edgeContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        private void finishLine(String lineEnd) throws IOException {
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (text.isBlank()) {
                send(lineEnd, List.of());
                return;
            }
            JsonNode list = JSON.readTree(text);
            List<Event.DiscoveryUpdate> updates = new ArrayList<>();
            withServerAddresses(list, serverAddress).path("hosts")
                .forEach(member -> updates.add(new Event.DiscoveryUpdate(0, edge,
                    member.path("host").asText(), member.path("health").asText(),
                    bornAtMs(member.path("born_ms").asLong()), list.path("seq").asLong())));
            String rewritten = list + lineEnd;
            nextSendMs = Math.max(nextSendMs, clock.nowMs() + (firstLineSent ? propagationMs : 0));
            firstLineSent = true;
            if (nextSendMs <= clock.nowMs()) {
                send(rewritten, updates);
            } else {
                edgeContext.executor().schedule(() -> send(rewritten, updates), clock.nanosUntil(nextSendMs),
                    TimeUnit.NANOSECONDS);
            }
        }

        private double bornAtMs(long unixMs) {
            return unixMs == 0 ? OLDER_THAN_RUN_MS : unixMs - clock.toUnixMs(0);
        }

        private void send(String text, List<Event.DiscoveryUpdate> updates) {
            edgeContext
                .writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)))
                .addListener(sent -> {
                    if (sent.isSuccess()) {
                        double nowMs = clock.nowMs();
                        updates.forEach(update -> trace.accept(new Event.DiscoveryUpdate(nowMs, update.edge(),
                            update.server(), update.health(), update.bornAtMs(), update.seq())));
                    }
                });
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            edgeContext.close();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the replica was killed
        }
    }
}
