package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.SimSocket;
import java.util.List;

/** Faults of one connection or one answer: those aimed at a request. */
final class ConnectionFaultInjector {
    /** No request and no answer is shorter. */
    private static final int SHORTEST = 30;

    private final Day day;
    private final List<Application> applications;
    private final RequestStates states;

    ConnectionFaultInjector(Day day, List<Application> applications, RequestStates states) {
        this.day = day;
        this.applications = applications;
        this.states = states;
    }

    void strike(Fault fault, ObservedRequest request) {
        switch (fault.kind().target()) {
            case UPSTREAM -> upstream(fault, request);
            case ANSWER -> answer(fault, request);
            default -> client(fault, request);
        }
    }

    private void tell(Fault fault, ObservedRequest request, String at) {
        day.evidence.faultStruck(fault.kind().word(), at, request.id());
    }

    private void upstream(Fault fault, ObservedRequest request) {
        SimSocket near = request.upstream();
        if (near == null || !near.isOpen() || near.isReset()) {
            return;
        }
        SimSocket far = near.peer();
        if (fault.kind() == FaultKind.UP_CUT_REQUEST) {
            cutRequest(fault, request, near);
            return;
        }
        if (fault.kind() == FaultKind.UP_CUT_ANSWER) {
            cutAnswer(
                    fault,
                    near,
                    states.state(request.id()) == request.state() && isAnswering(request));
            return;
        }
        tell(fault, request, request.server());
        switch (fault.kind()) {
            case UP_RESET -> near.fault(SimSocket.Fault.RESET);
            case UP_RESET_LATE -> near.fault(SimSocket.Fault.RESET_AFTER_DELIVERY);
            case UP_SILENT -> near.fault(SimSocket.Fault.BLACK_HOLE);
            case UP_END -> {
                if (far == null) {
                    near.fault(SimSocket.Fault.RESET);
                } else {
                    far.fault(SimSocket.Fault.END);
                }
            }
            default -> {
                if (far == null) {
                    near.fault(SimSocket.Fault.BLACK_HOLE);
                } else {
                    far.fault(SimSocket.Fault.STALL_READS);
                }
            }
        }
    }

    /**
     * Somewhere in what has not left yet of the request, or at its next byte; whole and gone it
     * can't be cut.
     */
    private void cutRequest(Fault fault, ObservedRequest request, SimSocket near) {
        int unsent = (int) (near.bytesWritten() - near.bytesTransmitted());
        long bytes = fault.value(FaultParameter.BYTES);
        if (unsent > 0) {
            cutAt(fault, near, near.bytesTransmitted() + bytes % unsent, near);
        } else if (!near.isEstablished()) {
            cutAt(fault, near, bytes % SHORTEST, near);
        } else {
            RequestState now = states.state(request.id());
            if (now == RequestState.WRITING || now == RequestState.RESEND_WRITING) {
                cutAt(fault, near, near.bytesWritten(), near);
            }
        }
    }

    /**
     * Somewhere in what has not left yet of the answer; before it has begun, in its first bytes;
     * else at its next one, if there is one.
     *
     * @param near the end of the connection that reads the answer
     */
    private void cutAnswer(Fault fault, SimSocket near, boolean begun) {
        SimSocket far = near.peer();
        if (far == null) {
            return;
        }
        int unsent = (int) (far.bytesWritten() - far.bytesTransmitted());
        long bytes = fault.value(FaultParameter.BYTES);
        cutAt(
                fault,
                far,
                unsent > 0
                        ? far.bytesTransmitted() + bytes % unsent
                        : far.bytesWritten() + (begun ? 0 : bytes % SHORTEST),
                near);
    }

    /** Counts when it breaks, for the request that is on the connection then. */
    private void cutAt(Fault fault, SimSocket writer, long position, SimSocket end) {
        day.evidence.faultArmed(fault.kind().word(), null);
        writer.resetAtByte(
                position,
                () -> {
                    ObservedRequest met = states.onConnection(end);
                    if (met != null) {
                        tell(fault, met, end.isServerEnd() ? met.server() : met.sidecar());
                    }
                });
    }

    private static boolean isAnswering(ObservedRequest request) {
        return switch (request.state()) {
            case ANSWERING, RESEND_ANSWERING, ANSWERED -> true;
            default -> false;
        };
    }

    private void answer(Fault fault, ObservedRequest request) {
        tell(fault, request, request.server());
        if (fault.kind() == FaultKind.SPOIL) {
            day.asked.spoil(request.id(), FaultKind.of(ResponseCorruption.class, fault.style()));
        } else {
            day.asked.extra(request.id(), FaultKind.of(ResponseExtra.class, fault.style()));
        }
    }

    private void client(Fault fault, ObservedRequest request) {
        SimSocket socket = request.client();
        AppConnection connection = socket == null ? null : connection(socket);
        if (connection == null || !socket.isOpen()) {
            return;
        }
        if (fault.kind() == FaultKind.DOWN_CUT_ANSWER) {
            connection.troubled();
            cutAnswer(fault, socket, isAnswering(request));
            return;
        }
        tell(fault, request, request.sidecar());
        switch (fault.kind()) {
            case CLIENT_CLOSE -> connection.leave();
            case CLIENT_RESET -> connection.reset();
            case CLIENT_END -> connection.end();
            case CLIENT_STALL -> connection.stall();
            default -> {
                connection.troubled();
                network(fault, socket);
            }
        }
    }

    private static void network(Fault fault, SimSocket socket) {
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
