package appleridge.testbed.invariants;

import appleridge.testbed.simnet.SimSocket;

/**
 * A request in the state that it is in now.
 *
 * @param client its client's end of their connection; null before its first bytes are written
 * @param upstream the sidecar's end of the connection to a server; null where none is used
 * @param server the server at that connection's other end; null where there is none
 */
public record ObservedRequest(
        String id,
        ClientAttempt attempt,
        String sidecar,
        RequestState state,
        SimSocket client,
        SimSocket upstream,
        String server) {}
