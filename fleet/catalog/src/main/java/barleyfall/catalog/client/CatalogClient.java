package barleyfall.catalog.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * An HTTP client of the list service. It tries the replicas in order and goes on to the next one only if no
 * connection was made, so that a request is never sent twice. If no replica can be connected to, it throws a
 * {@link ConnectException}.
 */
public final class CatalogClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final HttpClient http =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CONNECT_TIMEOUT).build();
    private final List<String> addresses;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param addresses the replicas, each {@code address:port}, in the order in which they are tried
     * @param timeout the time limit of a request
     */
    public CatalogClient(List<String> addresses, Duration timeout) {
        this.addresses = List.copyOf(addresses);
        this.timeout = timeout;
    }

    /** A response: the HTTP status and the JSON object in the body, empty if the body is empty. */
    public record Response(int status, JsonNode body) {
        /** Whether the request succeeded. */
        public boolean isOk() {
            return status == OK;
        }

        /** The error message of the service, or the status if it sent none. */
        public String error() {
            return body.path("error").asText("status " + status);
        }
    }

    /** Sends a GET of a path below {@code /catalog/}, such as {@code status}, or of an absolute path. */
    public Response get(String path) throws IOException {
        return toResponse(send(request(path).asGet(), HttpResponse.BodyHandlers.ofByteArray()));
    }

    /** Sends a GET and returns the body; throws with the service's error message if the request failed. */
    public byte[] getBytes(String path) throws IOException {
        HttpResponse<byte[]> response = send(request(path).asGet(), HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != OK) {
            throw new IOException(toResponse(response).error());
        }
        return response.body();
    }

    /** Sends a POST with a JSON object. */
    public Response post(String path, ObjectNode body) throws IOException {
        return post(path, JSON.writeValueAsBytes(body));
    }

    /** Sends a POST with a body of any form. */
    public Response post(String path, byte[] body) throws IOException {
        return toResponse(send(request(path).asPost(HttpRequest.BodyPublishers.ofByteArray(body)),
            HttpResponse.BodyHandlers.ofByteArray()));
    }

    /** An empty JSON object for the body of a request. */
    public static ObjectNode newBody() {
        return JSON.createObjectNode();
    }

    /**
     * Watches the list until the connection ends.
     *
     * @param since the version after which changes are sent, or a negative number for the whole list first
     * @param listener called for each line of the watch
     */
    public void watch(long since, Consumer<JsonNode> listener) throws IOException {
        HttpRequest.Builder request = HttpRequest.newBuilder();
        HttpResponse<Stream<String>> response =
            send(new Request(request.GET(), "members?follow=1&since=" + since, Duration.ofDays(1)),
                HttpResponse.BodyHandlers.ofLines());
        if (response.statusCode() != OK) {
            throw new IOException("the watch was refused: status " + response.statusCode());
        }
        try (Stream<String> lines = response.body()) {
            lines.filter(line -> !line.isBlank()).forEach(line -> {
                try {
                    listener.accept(JSON.readTree(line));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }

    /** A request that can be sent to any of the replicas. */
    private record Request(HttpRequest.Builder builder, String path, Duration timeout) {
        Request asGet() {
            return new Request(builder.GET(), path, timeout);
        }

        Request asPost(HttpRequest.BodyPublisher body) {
            return new Request(builder.POST(body), path, timeout);
        }
    }

    private Request request(String path) {
        return new Request(HttpRequest.newBuilder(), path, timeout);
    }

    private <T> HttpResponse<T> send(Request request,
        HttpResponse.BodyHandler<T> handler) throws IOException {
        IOException lastFailure = new ConnectException("no address of the list service was given");
        for (String address : addresses) {
            URI uri = URI.create("http://" + address + (request.path().startsWith("/") ? "" : "/catalog/")
                + request.path());
            try {
                return http.send(request.builder().copy().uri(uri).timeout(request.timeout()).build(),
                    handler);
            } catch (ConnectException | java.net.http.HttpConnectTimeoutException unreachable) {
                lastFailure = new ConnectException(address + " takes no connection");
                lastFailure.initCause(unreachable);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        throw lastFailure;
    }

    private static Response toResponse(HttpResponse<byte[]> response) throws IOException {
        JsonNode body = response.body().length == 0 ? JSON.createObjectNode()
            : JSON.readTree(response.body());
        return new Response(response.statusCode(), body);
    }
}
