package appleridge.http1;

import appleridge.request.BufferBudget;
import appleridge.request.ClientRequest;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Passes the requests of one client connection to the request coordinator. Answers readiness checks
 * and invalid requests itself. Event loop only.
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

    /** Dispatches a request whose body has been buffered whole. */
    void dispatch(RequestBuffer.Complete request, ClientExchange exchange) {
        HttpRequest head = request.head();
        if (head.uri().equals(READY_PATH)) {
            request.reservation().release();
            answerReadiness(head.method(), exchange);
            return;
        }
        try {
            ClientRequest parsed =
                    parse(
                            head,
                            request.body(),
                            listener.coordinator().earliestArrivalNanos(),
                            request.reservation());
            if (!clientSeenPresent || listener.coordinator().mayHaveWaitedUnread()) {
                listener.loop().execute(() -> acceptIfPresent(parsed, exchange));
            } else {
                accept(parsed, exchange);
            }
        } catch (InvalidRequestException e) {
            request.reservation().release();
            answerMalformed(e, exchange);
        }
    }

    private ClientRequest parse(
            HttpRequest head, byte[] body, long arrivedNanos, BufferBudget.Reservation reservation)
            throws InvalidRequestException {
        ClientRequest parsed = listener.requestParser().parse(head, body, arrivedNanos);
        HttpUpstreamRequest message = (HttpUpstreamRequest) parsed.message();
        return parsed.withMessage(message.withReservation(reservation));
    }

    /** The earliest time at which input that is read now may have arrived. */
    long earliestArrivalNanos() {
        return listener.coordinator().earliestArrivalNanos();
    }

    /** Rejects a request of which not all has been read, because too many bytes are buffered. */
    void rejectForBufferLimit(HttpRequest head, ClientExchange exchange) {
        try {
            long arrivedNanos = listener.coordinator().earliestArrivalNanos();
            listener.coordinator()
                    .rejectForBufferLimit(
                            listener.requestParser().parse(head, NO_BODY, arrivedNanos), exchange);
        } catch (InvalidRequestException e) {
            answerMalformed(e, exchange);
        }
    }

    /** Dispatches a request whose body is streamed. */
    void dispatchUpload(
            RequestBuffer.Streamed request, ClientExchange exchange, long arrivedNanos) {
        try {
            ClientRequest parsed =
                    parse(request.head(), NO_BODY, arrivedNanos, request.reservation());
            exchange.upload().write(request.receivedPart());
            HttpUpstreamRequest message = (HttpUpstreamRequest) parsed.message();
            accept(parsed.withMessage(message.withStreamedBody(exchange.upload())), exchange);
        } catch (InvalidRequestException e) {
            request.reservation().release();
            answerMalformed(e, exchange);
        }
    }

    /**
     * Reads pending input before a request is accepted, and drops the request if its client has
     * disconnected. A connection may have waited in the backlog, or unread during a stall, until
     * its client gave up; without this check its request would be sent although nobody waits for
     * it.
     */
    private void acceptIfPresent(ClientRequest request, ClientExchange exchange) {
        listener.readNow(channel);
        clientSeenPresent = true;
        if (channel.isActive()) {
            accept(request, exchange);
        } else {
            request.message().release();
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

    /** Counts a malformed request. */
    void onMalformedRequest() {
        listener.coordinator().metrics().onMalformedRequest();
    }
}
