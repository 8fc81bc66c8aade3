package appleridge.testbed.invariants;

import appleridge.testbed.simnet.SimSocket;

/**
 * A request and its state at one moment.
 *
 * @param client the client's end of its connection; null before its first bytes are written
 * @param upstream the sidecar's end of the connection to a server; null if none is used
 * @param server the server at the other end of that connection; null if there is none
 */
public record ObservedRequest(
        String id,
        ClientAttempt attempt,
        String sidecar,
        RequestState state,
        SimSocket client,
        SimSocket upstream,
        String server) {}
