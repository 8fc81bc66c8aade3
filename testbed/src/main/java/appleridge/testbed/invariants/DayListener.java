package appleridge.testbed.invariants;

import java.util.Map;

/**
 * What the stand-ins of a simulated day did and saw, told at the moment it happens. Times are
 * nanoseconds from the start of the day. A server's name is the uid that discovery lists it under.
 * A listener implements what it needs.
 */
public interface DayListener {
    /** The try's first byte is about to be written. Usual clients only; each try has a new id. */
    default void requestStarted(ClientAttempt attempt) {}

    /** How that try is written. */
    default void requestMessage(String id, Message message) {}

    /**
     * Its last byte is in the client's socket buffer, on a connection that the sidecar's machine
     * has accepted.
     */
    default void requestSent(String id) {}

    /**
     * A whole answer has been read.
     *
     * @param retryAfterNanos -1 for none
     * @param lastByteSentAt when the sidecar wrote the answer's last byte
     */
    default void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {}

    /** The connection ended before a whole answer, or what came can't be read as HTTP. */
    default void answerBroken(String id, String how, boolean begun) {}

    /** The client has closed its connection, or has stopped waiting. */
    default void clientGaveUp(String id) {}

    /** Its machine has refused a connection that a client began to open then. */
    default void connectRefused(String sidecar, long begunAt) {}

    /** A question whether it is ready has its whole answer, written by it then. */
    default void readinessAnswered(String sidecar, int status, long lastByteSentAt) {}

    /** A bad client's connection is up; it is owed an error or a close by that time. */
    default void badClientConnected(String name, long owedBy) {}

    /** A bad client got an answer of that status, or a close (0). */
    default void badClientEnded(String name, int statusOr0) {}

    /** A server has read a request's last byte. */
    default void serverReceived(
            String server,
            int incarnation,
            String sidecar,
            String id,
            long firstByteSentAt,
            long lastByteSentAt,
            long work) {}

    /** A server can read a request's id, and perhaps no more yet. */
    default void serverReadId(
            String server, int incarnation, String sidecar, String id, long firstByteSentAt) {}

    /**
     * What stood in a request that a server has read to its last byte; told with its arrival.
     *
     * @param deadlineNanos its X-Deadline; 0 for none that can be read
     */
    default void serverReadMessage(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {}

    /** A server has answered that it never ran this one. */
    default void serverDidNotRun(String server, int incarnation, String id) {}

    /** A server has made a good answer with that body. */
    default void serverAnswered(String server, int incarnation, String id, String body) {}

    /**
     * The truth about a server; at its start also that it is Ready, or will be.
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

    /** Discovery itself knows this entry from now on. */
    default void discoveryChanged(
            long revision, String uid, int incarnation, String state, long bornAt) {}

    /**
     * A whole answer that holds this entry has been written into the sidecar's connection; of a
     * whole list also Gone for each server that it leaves out, and the list with which a process
     * starts.
     */
    default void listDelivered(String sidecar, String uid, String state, long bornAt) {}

    /**
     * What was told to that sidecar at a moment has not reached its process, and will not:
     * discovery's end of the connection broke before it came to the machine, or while the process
     * stood still.
     */
    default void listNotDelivered(String sidecar, long at) {}

    /**
     * It begins to open a connection to discovery, and has so many now, with those that it opens.
     */
    default void discoveryConnecting(String sidecar, int open) {}

    /** Discovery has read a call; it may wait for so long, 0 if it may not. */
    default void discoveryCall(String sidecar, long callId, boolean whole, long waitNanos) {}

    /**
     * The call has been answered whole, or discovery has failed it (503, a reset). Nothing is told
     * when the sidecar leaves it, nor when discovery forgets it: what there was to tell then still
     * counts as told.
     */
    default void discoveryCallEnded(String sidecar, long callId, boolean answered) {}

    /** The process has begun; told ahead of the list that it begins with. */
    default void sidecarStarted(String sidecar, int incarnation) {}

    /** Its readiness has been answered with 200. */
    default void sidecarReady(String sidecar, int incarnation) {}

    /** It was killed; it did not end by itself. */
    default void sidecarKilled(String sidecar, int incarnation) {}

    /** It was sent SIGTERM. */
    default void sidecarSigterm(String sidecar, int incarnation) {}

    /** It was sent SIGHUP. */
    default void sidecarSighup(String sidecar, int incarnation) {}

    /** It ended by itself. */
    default void sidecarExited(String sidecar, int incarnation, int status) {}

    /** Its loop stands still. */
    default void sidecarPaused(String sidecar, long from, long until) {}

    /** The decision module was given a request; the key is unique for each try of the day. */
    default void moduleAccepted(String sidecar, int incarnation, long moduleId, long key) {}

    /** What it was told of that request. */
    default void moduleRequest(
            String sidecar, long key, int requestClass, int tenant, boolean clientRetry) {}

    /** The module starts an attempt; told before that is carried out. */
    default void moduleStartedAttempt(
            String sidecar, int incarnation, long moduleId, String server) {}

    /** The module turns the request away. */
    default void moduleRefused(String sidecar, int incarnation, long moduleId) {}

    /** The module gives the request up as failed. */
    default void moduleFailed(String sidecar, int incarnation, long moduleId) {}

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
     * @param at whom: a sidecar, a server, discovery, a client
     * @param id the request it is aimed at, or null
     */
    default void faultStruck(String kind, String at, String id) {}

    /**
     * A fault is set, at someone or null, that strikes only whom it meets; each that it meets is
     * told.
     */
    default void faultArmed(String kind, String at) {}

    /** Something that counts like a fault has come about while a request was in that state. */
    default void faultHit(String what, String id, RequestState state) {}

    /**
     * What clients and this sidecar send one another is held up, cut or lost meanwhile, by no fault
     * of either.
     *
     * @param id the request whose connection it is, or null for all of this sidecar's clients
     * @param until Long.MAX_VALUE for a connection that won't recover
     */
    default void clientLinkTroubled(String sidecar, String id, long from, long until) {}

    /** This sidecar can't reach discovery meanwhile: it is down, or cut off. */
    default void discoveryUnreachable(String sidecar, long from, long until) {}

    /** A bad client hides a request of that id, or asks one, that no server may read. */
    default void badClientHidRequest(String name, String id) {}

    /**
     * A bad client asks under the id of another's open request; of that servers tell by this id.
     */
    default void badClientReusedId(String name, String id, String owner) {}

    /** Which sources list the servers on this day; told before anything else. */
    default void discoverySources(boolean registry, boolean nodes) {}

    /**
     * The coordination service has written this to the sidecar, of a state that is no older than
     * what it wrote before; Unknown: it can't be told what the sidecar is to make of what was
     * written.
     */
    default void nodeDelivered(String sidecar, String uid, String state, long bornAt) {}

    /**
     * The decision module was told of a server; {@code startedAt} in the day's time, 0 for long
     * ago.
     */
    default void moduleHostUpdated(
            String sidecar, int incarnation, String uid, boolean ready, long startedAt) {}

    /** The day's last fault is over. */
    default void lastFaultEnded() {}

    /** The day ends. */
    default void dayEnded() {}
}
