package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.SimSocket;
import java.util.List;

/** Injects faults into the connection or the response of a single request. */
final class ConnectionFaultInjector {

    /** Minimum length of a request or a response, in bytes. */
    private static final int MIN_MESSAGE_LENGTH = 30;

    private final Day day;
    private final List<Application> applications;
    private final RequestStates states;

    ConnectionFaultInjector(Day day, List<Application> applications, RequestStates states) {
        this.day = day;
        this.applications = applications;
        this.states = states;
    }

    void inject(Fault fault, ObservedRequest request) {
        switch (fault.kind().target()) {
            case UPSTREAM -> injectUpstream(fault, request);
            case ANSWER -> injectResponse(fault, request);
            default -> injectClient(fault, request);
        }
    }

    private void reportTriggered(Fault fault, ObservedRequest request, String at) {
        day.evidence.faultTriggered(fault.kind().word(), at, request.id());
    }

    private void injectUpstream(Fault fault, ObservedRequest request) {
        SimSocket sidecarEnd = request.upstream();
        if (sidecarEnd == null || !sidecarEnd.isOpen() || sidecarEnd.isReset()) {
            return;
        }
        SimSocket serverEnd = sidecarEnd.peer();
        if (fault.kind() == FaultKind.UP_CUT_REQUEST) {
            cutRequest(fault, request, sidecarEnd);
            return;
        }
        if (fault.kind() == FaultKind.UP_CUT_ANSWER) {
            cutResponse(
                    fault,
                    sidecarEnd,
                    states.state(request.id()) == request.state() && responseHasStarted(request));
            return;
        }
        reportTriggered(fault, request, request.server());
        switch (fault.kind()) {
            case UP_RESET -> sidecarEnd.fault(SimSocket.Fault.RESET);
            case UP_RESET_LATE -> sidecarEnd.fault(SimSocket.Fault.RESET_AFTER_DELIVERY);
            case UP_SILENT -> sidecarEnd.fault(SimSocket.Fault.BLACK_HOLE);
            case UP_END -> {
                if (serverEnd == null) {
                    sidecarEnd.fault(SimSocket.Fault.RESET);
                } else {
                    serverEnd.fault(SimSocket.Fault.END);
                }
            }
            default -> {
                if (serverEnd == null) {
                    sidecarEnd.fault(SimSocket.Fault.BLACK_HOLE);
                } else {
                    serverEnd.fault(SimSocket.Fault.STALL_READS);
                }
            }
        }
    }

    /**
     * Breaks the connection at a byte of the request that has not been sent yet, or at its next
     * byte. A request that has been sent completely cannot be cut.
     */
    private void cutRequest(Fault fault, ObservedRequest request, SimSocket sidecarEnd) {
        int unsent = (int) (sidecarEnd.bytesWritten() - sidecarEnd.bytesTransmitted());
        long bytes = fault.value(FaultParameter.BYTES);
        if (unsent > 0) {
            cutAt(fault, sidecarEnd, sidecarEnd.bytesTransmitted() + bytes % unsent, sidecarEnd);
        } else if (!sidecarEnd.isEstablished()) {
            cutAt(fault, sidecarEnd, bytes % MIN_MESSAGE_LENGTH, sidecarEnd);
        } else {
            RequestState current = states.state(request.id());
            if (current == RequestState.WRITING || current == RequestState.RESEND_WRITING) {
                cutAt(fault, sidecarEnd, sidecarEnd.bytesWritten(), sidecarEnd);
            }
        }
    }

    /**
     * Breaks the connection at a byte of the response that is written but not sent yet. If there is
     * none, breaks it within the first {@link #MIN_MESSAGE_LENGTH} bytes of a response that has not
     * started, or at the next byte of one that has.
     *
     * @param readingEnd the end of the connection that reads the response
     * @param started whether the response has started
     */
    private void cutResponse(Fault fault, SimSocket readingEnd, boolean started) {
        SimSocket peer = readingEnd.peer();
        if (peer == null) {
            return;
        }
        int unsent = (int) (peer.bytesWritten() - peer.bytesTransmitted());
        long bytes = fault.value(FaultParameter.BYTES);
        cutAt(
                fault,
                peer,
                unsent > 0
                        ? peer.bytesTransmitted() + bytes % unsent
                        : peer.bytesWritten() + (started ? 0 : bytes % MIN_MESSAGE_LENGTH),
                readingEnd);
    }

    /**
     * Resets the connection at a byte position. The fault is reported as armed now, and as
     * triggered when the connection breaks, for the request that is on the connection by then.
     */
    private void cutAt(Fault fault, SimSocket writer, long position, SimSocket end) {
        day.evidence.faultArmed(fault.kind().word(), null);
        writer.resetAtByte(
                position,
                () -> {
                    ObservedRequest affected = states.onConnection(end);
                    if (affected != null) {
                        reportTriggered(
                                fault,
                                affected,
                                end.isServerEnd() ? affected.server() : affected.sidecar());
                    }
                });
    }

    private static boolean responseHasStarted(ObservedRequest request) {
        return switch (request.state()) {
            case ANSWERING, RESEND_ANSWERING, ANSWERED -> true;
            default -> false;
        };
    }

    private void injectResponse(Fault fault, ObservedRequest request) {
        reportTriggered(fault, request, request.server());
        if (fault.kind() == FaultKind.SPOIL) {
            day.sentRequests.corruptResponse(
                    request.id(), FaultKind.of(ResponseCorruption.class, fault.style()));
        } else {
            day.sentRequests.addExtra(
                    request.id(), FaultKind.of(ResponseExtra.class, fault.style()));
        }
    }

    private void injectClient(Fault fault, ObservedRequest request) {
        SimSocket socket = request.client();
        AppConnection connection = socket == null ? null : connection(socket);
        if (connection == null || !socket.isOpen()) {
            return;
        }
        if (fault.kind() == FaultKind.DOWN_CUT_ANSWER) {
            connection.markFaulty();
            cutResponse(fault, socket, responseHasStarted(request));
            return;
        }
        reportTriggered(fault, request, request.sidecar());
        switch (fault.kind()) {
            case CLIENT_CLOSE -> connection.disconnect();
            case CLIENT_RESET -> connection.reset();
            case CLIENT_END -> connection.halfClose();
            case CLIENT_STALL -> connection.stall();
            default -> {
                connection.markFaulty();
                injectSocketFault(fault, socket);
            }
        }
    }

    private static void injectSocketFault(Fault fault, SimSocket socket) {
        switch (fault.kind()) {
            case DOWN_RESET -> socket.fault(SimSocket.Fault.RESET);
            case DOWN_RESET_LATE -> socket.fault(SimSocket.Fault.RESET_AFTER_DELIVERY);
            default -> socket.fault(SimSocket.Fault.BLACK_HOLE);
        }
    }

    private AppConnection connection(SimSocket socket) {
        for (Application each : applications) {
            AppConnection found = each.connection(socket);
            if (found != null) {
                return found;
            }
        }
        return null;
    }
}
