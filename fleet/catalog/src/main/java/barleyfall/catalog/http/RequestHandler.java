package barleyfall.catalog.http;

import barleyfall.catalog.model.Command;
import barleyfall.catalog.model.FlagList;
import barleyfall.catalog.model.Health;
import barleyfall.catalog.model.Image;
import barleyfall.catalog.model.Outcome;
import barleyfall.catalog.model.Page;
import barleyfall.catalog.replica.ImageFile;
import barleyfall.catalog.replica.Replica;
import barleyfall.catalog.replica.Settings;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the requests of one connection, one at a time and in their order. A watch is the last request of
 * its connection.
 */
final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The header that says how stale the list of the replica may be, ms. */
    static final String AGE = "X-Catalog-Age";
    private static final Logger LOG = LoggerFactory.getLogger(RequestHandler.class);
    private static final String LIST = "/catalog/members";
    /** The path below which the requests of the list service are. */
    private static final String HOME = "/catalog/";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;
    /** The longest body of any request but a restore. */
    private static final int MAX_BODY_BYTES = 64 << 10;

    private final Replica replica;
    private final FlagList list;
    private final WriteRequests writeRequests;
    private final Watches watches;
    private final Metrics metrics;
    private final ArrayDeque<FullHttpRequest> queued = new ArrayDeque<>();
    /** Whether a request is being handled. */
    private boolean busy;
    /** The watch of this connection, or null. */
    private Watches.Watch watch;

    RequestHandler(Replica replica, Watches watches, Metrics metrics) {
        this.replica = replica;
        this.watches = watches;
        this.metrics = metrics;
        list = replica.list();
        writeRequests = new WriteRequests(replica.settings());
    }

    @Override protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        queued.add(request.retain());
        handleNext(context);
    }

    private void handleNext(ChannelHandlerContext context) {
        while (!busy && watch == null && !queued.isEmpty()) {
            FullHttpRequest request = queued.poll();
            busy = true;
            try {
                handle(context, request);
            } finally {
                request.release();
            }
        }
    }

    private void handle(ChannelHandlerContext context, FullHttpRequest request) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        String name = "other";
        try {
            if (!request.decoderResult().isSuccess()) {
                throw new RequestException(BAD_REQUEST, null, "this is not an HTTP/1.1 request: "
                    + request.decoderResult().cause().getMessage());
            }
            name = query.path().startsWith(HOME) ? query.path().substring(HOME.length())
                : query.path();
            if (request.method().equals(HttpMethod.GET)) {
                get(context, request, name, query);
            } else if (request.method().equals(HttpMethod.POST)) {
                post(context, request, name, ByteBufUtil.getBytes(request.content()));
            } else {
                throw new RequestException(METHOD_NOT_ALLOWED, null,
                    "GET or POST expected, found " + request.method());
            }
        } catch (RequestException refused) {
            respondJson(context, request, "refused", refused.status(),
                error(refused.getMessage(), refused.key()));
        }
    }

    // ---- reads ----

    private void get(ChannelHandlerContext context, FullHttpRequest request, String name,
        QueryStringDecoder query) throws RequestException {
        switch (name) {
            case "members" -> members(context, request, query);
            case "status" -> respondJson(context, request, name, OK, status());
            case "snapshot" -> respondLater(context, request, name, replica.freshImage(), image ->
                respond(context, request, name, OK, "application/octet-stream", ImageFile.bytes(image)));
            case "/metrics" -> {
                try {
                    respond(context, request, name, OK, "text/plain; version=0.0.4; charset=utf-8",
                        metrics.text());
                } catch (IOException e) {
                    throw new IllegalStateException("writing to memory failed", e);
                }
            }
            case "/health/live" -> respondJson(context, request, name, OK,
                Json.MAPPER.createObjectNode().put("live", true));
            case "/health/ready" -> respondJson(context, request, name, replica.hasList() ? OK : UNAVAILABLE,
                Json.MAPPER.createObjectNode().put("ready", replica.hasList()).put("stale", replica.stale())
                    .put("age_ms", replica.ageMs()));
            default -> throw WriteRequests.NAMES.contains(name)
                ? new RequestException(METHOD_NOT_ALLOWED, null, name + " must be sent by POST")
                : new RequestException(NOT_FOUND, null, "there is nothing at " + query.path());
        }
    }

    private void members(ChannelHandlerContext context, FullHttpRequest request, QueryStringDecoder query)
        throws RequestException {
        if (query.parameters().containsKey("fresh")) {
            respondLater(context, request, "fresh", replica.freshImage(), image ->
                respondJson(context, request, "fresh", OK, wholeList(image)));
            return;
        }
        if (!replica.hasList()) {
            throw new RequestException(UNAVAILABLE, null,
                "this replica has no list yet: it has stored none, and knows no leader");
        }
        if (!query.parameters().containsKey("follow")) {
            respondJson(context, request, "members", OK, Json.of(list.page(list.epoch(), -1, 0)));
            return;
        }
        if (watches.openCount() >= replica.settings().watching().maxWatches()) {
            throw new RequestException(UNAVAILABLE, null,
                "too many watches are open: " + watches.openCount());
        }
        long since = integer(query, "since", -1);
        long epoch = integer(query, "epoch", list.epochOf(since));
        DefaultHttpResponse headers = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        headers.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(AGE, replica.ageMs());
        context.write(headers);
        metrics.countResponse("watch", OK);
        watch = watches.open(context, epoch, since);
    }

    private static long integer(QueryStringDecoder query, String key, long defaultValue)
        throws RequestException {
        List<String> values = query.parameters().get(key);
        try {
            return values == null ? defaultValue : Long.parseLong(values.get(0));
        } catch (NumberFormatException e) {
            throw new RequestException(BAD_REQUEST, key,
                key + ": a whole number expected, found \"" + values.get(0) + "\"");
        }
    }

    private static ObjectNode wholeList(Image image) {
        return Json.of(new Page(image.epoch(), true, image.seq(), image.members()));
    }

    /** The state of this replica, for operators. */
    private ObjectNode status() {
        Settings.Peer leader = replica.leader();
        Command.Hold hold = list.hold();
        ObjectNode root = Json.MAPPER.createObjectNode().put("id", replica.settings().id())
            .put("role", replica.roleName()).put("leader", leader == null ? null : leader.id())
            .put("leader_http", leader == null ? null : leader.http()).put("epoch", list.epoch())
            .put("seq", list.seq()).put("oldest", list.oldestSeq()).put("age_ms", replica.ageMs())
            .put("stale", replica.stale()).put("watches", watches.openCount());
        ObjectNode members = root.putObject("members");
        for (Health health : new Health[] {Health.ACTIVE, Health.LEAVING}) {
            members.put(health.wireName(),
                list.members().stream().filter(member -> member.health() == health).count());
        }
        if (hold != null) {
            root.putObject("guard").put("missing", hold.missing()).put("of", hold.memberCount())
                .put("since_ms", hold.atMs()).put("why", hold.why());
        }
        return root;
    }

    // ---- writes ----

    private void post(ChannelHandlerContext context, FullHttpRequest request, String name, byte[] text)
        throws RequestException {
        if (name.equals("restore")) {
            try {
                write(context, request, name, new Command.Restore(ImageFile.read(text)));
            } catch (IOException e) {
                throw new RequestException(BAD_REQUEST, null,
                    "the snapshot cannot be used: " + e.getMessage());
            }
            return;
        }
        if (text.length > MAX_BODY_BYTES) {
            throw new RequestException(413, null, "the body has " + text.length + " bytes; at most "
                + MAX_BODY_BYTES + " are allowed");
        }
        if (name.equals("renew")) {
            RequestBody body = RequestBody.read(text);
            String host = body.requiredName("host");
            long token = WriteRequests.token(body);
            body.rejectUnknownKeys();
            respondLater(context, request, name, replica.renew(host, token), renewed ->
                respondJson(context, request, name, renewed ? OK : 409,
                    renewed ? Json.MAPPER.createObjectNode().put("seq", list.seq())
                    : error("no such registration of " + host + " is known; register again", "token")));
        } else if (name.equals("rejoin")) {
            RequestBody body = RequestBody.read(text);
            String id = body.requiredName("id");
            body.rejectUnknownKeys();
            respondLater(context, request, name, replica.readmit(id), readmitted ->
                respondJson(context, request, name, readmitted ? OK : 409,
                    readmitted ? Json.MAPPER.createObjectNode().put("seq", list.seq())
                    : error("this replica has no list, or knows no replica " + id, "id")));
        } else if (name.equals("let-go")) {
            respondLater(context, request, name, replica.releaseHold(), outcome ->
                respondJson(context, request, name, outcome.status(), json(outcome)));
        } else if (WriteRequests.NAMES.contains(name)) {
            RequestBody body = RequestBody.read(text);
            Command command = writeRequests.parse(name, body);
            body.rejectUnknownKeys();
            write(context, request, name, command);
        } else {
            throw new RequestException(NOT_FOUND, null, "there is nothing at " + request.uri());
        }
    }

    private void write(ChannelHandlerContext context, FullHttpRequest request, String name, Command command) {
        respondLater(context, request, name, replica.write(command), outcome ->
            respondJson(context, request, name, outcome.status(), json(outcome)));
    }

    private static ObjectNode json(Outcome outcome) {
        ObjectNode root = outcome.succeeded() ? Json.MAPPER.createObjectNode() : error(outcome.error(), null);
        return root.put("seq", outcome.seq()).put("member", outcome.memberSeq())
            .put("token", outcome.token());
    }

    // ---- responses ----

    private static ObjectNode error(String reason, String key) {
        ObjectNode root = Json.MAPPER.createObjectNode().put("error", reason);
        return key == null ? root : root.put("key", key);
    }

    /** Responds once a result is there, by {@code onSuccess} or with an error. */
    private <T> void respondLater(ChannelHandlerContext context, FullHttpRequest request, String name,
        CompletableFuture<T> result, java.util.function.Consumer<T> onSuccess) {
        request.retain();
        result.whenComplete((value, failure) -> context.executor().execute(() -> {
            if (failure == null) {
                onSuccess.accept(value);
            } else {
                LOG.warn("the request {} failed: {}", name, failure.toString());
                respondJson(context, request, name, UNAVAILABLE,
                    error("no answer from a majority of the replicas; a change may have been "
                    + "applied, or may yet be: " + failure.getMessage(), null));
            }
            request.release();
        }));
    }

    private void respondJson(ChannelHandlerContext context, FullHttpRequest request, String name, int status,
        ObjectNode body) {
        respond(context, request, name, status, "application/json", Json.bytes(body));
    }

    /**
     * Writes a response and goes on with the next request.
     *
     * @param name the name of the request in the metrics
     */
    private void respond(ChannelHandlerContext context, FullHttpRequest request, String name, int status,
        String type, byte[] body) {
        metrics.countResponse(name, status);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length)
            .set(HttpHeaderNames.CONTENT_TYPE, type).set(AGE, replica.ageMs());
        boolean keepAlive = HttpUtil.isKeepAlive(request) && status != BAD_REQUEST;
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var writeFuture = context.writeAndFlush(response);
        busy = false;
        if (keepAlive) {
            handleNext(context);
        } else {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (watch != null) {
            watch.write();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext context) {
        if (watch != null) {
            watches.close(watch);
        }
        queued.forEach(FullHttpRequest::release);
        queued.clear();
    }

    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warn("a connection is closed after an error", cause);
        }
        context.close();
    }
}
