package appleridge.http1;

import appleridge.request.BufferBudget;
import appleridge.request.ClientRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Passes the requests of one client connection to the request coordinator. Answers readiness checks
 * and invalid requests itself. Event loop only.
 */
final class RequestDispatcher {
    private static final byte[] NO_BODY = {};
    private static final String READY_PATH = "/health/ready";

    /** After how long unread input is looked for again: one turn of the event loop. */
    private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final ClientListener listener;
    private final ClientConnection connection;
    private final ReadActivityHandler readActivity;

    /** Requests that have been read and not accepted yet. */
    private final ArrayDeque<PendingDispatch> pending = new ArrayDeque<>();

    private boolean dispatchScheduled;

    RequestDispatcher(
            ClientListener listener,
            ClientConnection connection,
            ReadActivityHandler readActivity) {
        this.listener = listener;
        this.connection = connection;
        this.readActivity = readActivity;
    }

    private record PendingDispatch(ClientRequest request, ClientExchange exchange) {}

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
                            connection.earliestArrivalNanos(),
                            request.reservation());
            pending.add(new PendingDispatch(parsed, exchange));
            scheduleDispatch();
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

    /** Rejects a request of which not all has been read, because too many bytes are buffered. */
    void rejectForBufferLimit(HttpRequest head, ClientExchange exchange) {
        try {
            long arrivedNanos = connection.earliestArrivalNanos();
            listener.coordinator()
                    .rejectForBufferLimit(
                            listener.requestParser().parse(head, NO_BODY, arrivedNanos), exchange);
        } catch (InvalidRequestException e) {
            answerMalformed(e, exchange);
        }
    }

    /**
     * Dispatches a request whose body is streamed, with what can be read ahead of it.
     *
     * @param arrivedNanos the time from which its deadline counts until it is forwarded
     */
    void dispatchUpload(
            RequestBuffer.Streamed request, ClientExchange exchange, long arrivedNanos) {
        try {
            ClientRequest parsed =
                    parse(request.head(), NO_BODY, arrivedNanos, request.reservation());
            exchange.upload().write(request.receivedPart());
            HttpUpstreamRequest message = (HttpUpstreamRequest) parsed.message();
            ClientRequest streamed =
                    parsed.withMessage(message.withStreamedBody(exchange.upload()));
            pending.add(new PendingDispatch(streamed, exchange));
            scheduleDispatch();
        } catch (InvalidRequestException e) {
            request.reservation().release();
            answerMalformed(e, exchange);
        }
    }

    /** Passes requests on after the current read, which must not be interrupted by another one. */
    private void scheduleDispatch() {
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            listener.loop().execute(this::dispatchIfPresent);
        }
    }

    /**
     * Reads the input up to its end before short requests are accepted, and drops them if their
     * client has disconnected. They may have waited in the backlog, or unread behind others, until
     * their client gave up, and its disconnect is behind all that it has sent. How much that is at
     * most is bounded by the number of requests that a client may pipeline.
     */
    private void dispatchIfPresent() {
        if (readActivity.hasReachedReadLimit()) {
            // The loop reads on in its next turn; reading more now would delay other clients.
            listener.loop().schedule(RECHECK_NANOS, this::readAndDispatch);
        } else {
            readAndDispatch();
        }
    }

    private void readAndDispatch() {
        boolean present = connection.readPendingInput();
        if (present && !connection.isInputDrained()) {
            listener.loop().schedule(RECHECK_NANOS, this::readAndDispatch);
            return;
        }
        dispatchScheduled = false;
        while (!pending.isEmpty()) {
            PendingDispatch next = pending.poll();
            if (present && !next.exchange().isAnswered()) {
                accept(next.request(), next.exchange());
            } else {
                listener.logDropped(next.request().id(), present);
                next.request().message().release();
            }
        }
    }

    private void accept(ClientRequest request, ClientExchange exchange) {
        exchange.onAccepted(listener.coordinator().accept(request, exchange));
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
