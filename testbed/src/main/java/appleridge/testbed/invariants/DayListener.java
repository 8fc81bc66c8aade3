package appleridge.testbed.invariants;

import java.util.Map;

/**
 * Receives the events of a simulated day from the stand-ins at the moment they happen.
 *
 * <p>Times are nanoseconds from the start of the day. A server's name is the uid under which
 * discovery lists it. An {@code incarnation} numbers the successive processes of one sidecar or
 * server. Listeners implement only the methods they need.
 */
public interface DayListener {
    /**
     * The first byte of an attempt is about to be written. Only for well-behaved clients; each
     * attempt has a new id.
     */
    default void requestStarted(ClientAttempt attempt) {}

    /** Describes the content of the request as the client writes it. */
    default void requestMessage(String id, Message message) {}

    /**
     * The last byte is in the client's socket buffer, on a connection that the sidecar's machine
     * has accepted.
     */
    default void requestSent(String id) {}

    /**
     * The client has read a complete answer.
     *
     * @param retryAfterNanos -1 for none
     * @param lastByteSentAt when the sidecar wrote the answer's last byte
     */
    default void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {}

    /** The connection ended before a complete answer, or the bytes received are not valid HTTP. */
    default void answerBroken(String id, String how, boolean begun) {}

    /** The client has closed its connection or has stopped waiting. */
    default void clientGaveUp(String id) {}

    /**
     * The sidecar's machine has refused a connection that a client began to open at {@code
     * begunAt}.
     */
    default void connectRefused(String sidecar, long begunAt) {}

    /**
     * A readiness probe has its complete answer, whose last byte the sidecar wrote at {@code
     * lastByteSentAt}.
     */
    default void readinessAnswered(String sidecar, int status, long lastByteSentAt) {}

    /** A bad client has connected; it is owed an error or a close by {@code owedBy}. */
    default void badClientConnected(String name, long owedBy) {}

    /** A bad client got an answer of this status, or a close (0). */
    default void badClientEnded(String name, int statusOr0) {}

    /** A server has read the last byte of a request. */
    default void serverReceived(
            String server,
            int incarnation,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {}

    /** A server can read the id of a request; the rest may still be missing. */
    default void serverReadId(
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {}

    /**
     * Describes the content of a request that a server has read completely; reported with its
     * arrival.
     *
     * @param deadlineNanos its X-Deadline; 0 if it is missing or unreadable
     */
    default void serverReadMessage(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {}

    /** A server has answered that it did not run this request. */
    default void serverDidNotRun(String server, int incarnation, String id) {}

    /** A server has produced a good answer with this body. */
    default void serverAnswered(String server, int incarnation, String id, String body) {}

    /**
     * The actual state of a server, whatever discovery lists; also reported at its start, when it
     * is Ready or about to be.
     *
     * @param state Ready, Terminating or Gone
     * @param bornAt 0 for long ago
     */
    default void serverState(String server, int incarnation, String state, long bornAt) {}

    /**
     * A cold server has collapsed under the work that these sidecars sent within the rule's window.
     */
    default void serverCollapsed(
            String server, int incarnation, Map<String, Double> workBySidecarInWindow) {}

    /** Discovery itself holds this entry from now on. */
    default void discoveryChanged(
            long revision, String uid, int incarnation, String state, long bornAt) {}

    /**
     * A complete response that holds this entry has been written into the sidecar's connection. A
     * whole list also reports Gone for each server that it leaves out. The list with which a
     * process starts is reported too.
     */
    default void listDelivered(String sidecar, String uid, String state, long bornAt) {}

    /**
     * What was delivered to this sidecar at time {@code at} did not reach its process and will not:
     * discovery's end of the connection broke before the data came to the machine, or while the
     * process was paused.
     */
    default void listNotDelivered(String sidecar, long at) {}

    /**
     * The sidecar begins to open a connection to discovery; {@code open} counts its connections
     * including those being opened.
     */
    default void discoveryConnecting(String sidecar, int open) {}

    /** Discovery has read a call, which may wait up to {@code waitNanos}; 0 if it may not wait. */
    default void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {}

    /**
     * The call has been answered completely, or discovery has failed it (503 or a reset). Not
     * reported when the sidecar abandons the call or discovery forgets it: what it would have
     * delivered then still counts as delivered.
     */
    default void discoveryCallEnded(String sidecar, long callId, boolean answered) {}

    /** The process has started; reported before the list with which it starts. */
    default void sidecarStarted(String sidecar, int incarnation) {}

    /** The sidecar's readiness probe has been answered with 200. */
    default void sidecarReady(String sidecar, int incarnation) {}

    /** The process was killed; it did not exit by itself. */
    default void sidecarKilled(String sidecar, int incarnation) {}

    /** The process was sent SIGTERM. */
    default void sidecarSigterm(String sidecar, int incarnation) {}

    /** The process was sent SIGHUP. */
    default void sidecarSighup(String sidecar, int incarnation) {}

    /** The process exited by itself. */
    default void sidecarExited(String sidecar, int incarnation, int status) {}

    /** The sidecar's event loop stands still for this span. */
    default void sidecarPaused(String sidecar, long from, long until) {}

    /** The decision module was given a request; the key is unique for each attempt of the day. */
    default void moduleAccepted(String sidecar, int incarnation, long moduleId, long key) {}

    /** Reports the attributes of the request that the decision module was given. */
    default void moduleRequest(
            String sidecar, long key, int requestClass, int tenant, boolean clientRetry) {}

    /** The module starts an attempt; reported before the attempt is carried out. */
    default void moduleStartedAttempt(
            String sidecar, int incarnation, long moduleId, String server) {}

    /** The module refuses the request. */
    default void moduleRefused(String sidecar, int incarnation, long moduleId) {}

    /** The module gives the request up as failed. */
    default void moduleFailed(String sidecar, int incarnation, long moduleId) {}

    /**
     * The request has ended and the module has been told, by the outcome of an attempt or by the
     * disconnect of the client. Not reported for a request that it refused or failed itself.
     */
    default void moduleRequestEnded(String sidecar, int incarnation, long moduleId) {}

    /** The module was told how an attempt ended. */
    default void moduleOutcome(
            String sidecar,
            int incarnation,
            long moduleId,
            int attempt,
            String outcome,
            boolean ended) {}

    /**
     * A fault strikes now.
     *
     * @param at the target: a sidecar, a server, discovery or a client
     * @param id the request at which it is aimed, or null
     */
    default void faultTriggered(String kind, String at, String id) {}

    /**
     * A lasting fault is armed at this target, or at none in particular (null). It affects only the
     * requests that run into it, each of which is reported by {@link #faultHit}.
     */
    default void faultArmed(String kind, String at) {}

    /**
     * A lasting fault, or an event that counts like a fault, has affected a request in this state.
     */
    default void faultHit(String what, String id, RequestState state) {}

    /**
     * Traffic between clients and this sidecar is delayed, cut or lost during this span, by no
     * fault of either.
     *
     * @param id the request whose connection is affected, or null for all clients of this sidecar
     * @param until Long.MAX_VALUE for a connection that does not recover
     */
    default void clientLinkTroubled(String sidecar, String id, long from, long until) {}

    /** The sidecar cannot reach discovery during this span: discovery is down or cut off. */
    default void discoveryUnreachable(String sidecar, long from, long until) {}

    /**
     * A bad client sends a request of this id, hidden in other bytes or malformed, that no server
     * may read.
     */
    default void badClientHidRequest(String name, String id) {}

    /**
     * A bad client sends a request under the id of another client's open request; servers report it
     * as {@code id}.
     */
    default void badClientReusedId(String name, String id, String owner) {}

    /** Which sources list the servers on this day; reported before anything else. */
    default void discoverySources(boolean registry, boolean nodes) {}

    /**
     * Lists are pushed to an agent beside each sidecar on this day: what the agent has counts as
     * delivered, whether or not the sidecar calls it.
     */
    default void listsPushed() {}

    /**
     * The coordination service has written this state to the sidecar; it is no older than what it
     * wrote before. Unknown means that it cannot be determined what the sidecar makes of the data.
     */
    default void nodeDelivered(String sidecar, String uid, String state, long bornAt) {}

    /**
     * The decision module was given a state of a host; {@code startedAt} in the day's time, 0 for
     * long ago.
     */
    default void moduleHostUpdated(
            String sidecar, int incarnation, String uid, boolean ready, long startedAt) {}

    /** The last fault of the day is over. */
    default void lastFaultEnded() {}

    /** The day ends. */
    default void dayEnded() {}
}
