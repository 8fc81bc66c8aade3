package appleridge.http1;

import appleridge.request.ClientRequest;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Hands the requests of one client connection to the request coordinator, or answers them at once:
 * the readiness check, and what is malformed. Loop thread only.
 */
final class RequestDispatcher {
    private static final byte[] NO_BODY = {};
    private static final String READY_PATH = "/health/ready";

    private final ClientListener listener;
    private final Channel channel;
    private boolean clientSeenPresent;

    RequestDispatcher(ClientListener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
    }

    /** Takes a request that has been received whole. */
    void dispatch(HttpRequest request, byte[] content, ClientExchange exchange) {
        if (request.uri().equals(READY_PATH)) {
            answerReadiness(request.method(), exchange);
            return;
        }
        try {
            ClientRequest parsed =
                    listener.requestParser()
                            .parse(request, content, listener.coordinator().earliestArrivalNanos());
            if (!clientSeenPresent || listener.coordinator().mayHaveWaitedUnread()) {
                listener.loop().execute(() -> acceptIfPresent(parsed, exchange));
            } else {
                accept(parsed, exchange);
            }
        } catch (InvalidRequestException e) {
            answerMalformed(e, exchange);
        }
    }

    /**
     * Takes a request whose body is streamed.
     *
     * @param begun what has arrived of the body
     */
    void dispatchUpload(
            HttpRequest request, ByteBuf begun, ClientExchange exchange, long arrivedNanos) {
        try {
            ClientRequest parsed = listener.requestParser().parse(request, NO_BODY, arrivedNanos);
            exchange.upload().write(begun);
            HttpUpstreamRequest message = (HttpUpstreamRequest) parsed.message();
            accept(parsed.withMessage(message.withStreamedBody(exchange.upload())), exchange);
        } catch (InvalidRequestException e) {
            answerMalformed(e, exchange);
        }
    }

    /**
     * Reads on before a request is accepted. A new connection may have waited to be accepted, or
     * all of them to be read, until the client gave up; without this, what nobody waits for would
     * be sent.
     */
    private void acceptIfPresent(ClientRequest request, ClientExchange exchange) {
        listener.readNow(channel);
        clientSeenPresent = true;
        if (channel.isActive()) {
            accept(request, exchange);
        }
    }

    private void accept(ClientRequest request, ClientExchange exchange) {
        exchange.onCancel(listener.coordinator().accept(request, exchange));
    }

    private void answerReadiness(HttpMethod method, ClientExchange exchange) {
        if (!method.equals(HttpMethod.GET)) {
            exchange.respondText(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, "method not allowed", HttpMethod.GET);
            return;
        }
        boolean ready = listener.isReady();
        exchange.respondText(
                ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                ready ? "ready" : "not ready");
    }

    private void answerMalformed(InvalidRequestException cause, ClientExchange exchange) {
        onMalformedRequest();
        exchange.respondText(cause.status(), cause.getMessage(), cause.allowedMethods());
    }

    /** Counts a request that made no sense. */
    void onMalformedRequest() {
        listener.coordinator().metrics().onMalformedRequest();
    }
}
