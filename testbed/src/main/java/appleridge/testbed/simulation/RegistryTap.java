package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Tap;
import java.util.List;

/** Tells of each connection to discovery that a sidecar opens, and how many it has then. */
final class RegistryTap implements Tap {
    private final Network network;
    private final ProcessSlots seats;
    private final List<Host> discovery;
    private final DayListener evidence;

    RegistryTap(Network network, ProcessSlots seats, List<Host> discovery, DayListener evidence) {
        this.network = network;
        this.seats = seats;
        this.discovery = discovery;
        this.evidence = evidence;
    }

    @Override
    public void connecting(SimSocket socket) {
        if (discovery.contains(socket.peerHost()) && seats.slot(socket.host().name()) != null) {
            evidence.discoveryConnecting(socket.host().name(), open(socket.host()));
        }
    }

    private int open(Host sidecar) {
        int open = 0;
        for (SimSocket each : network.sockets(sidecar)) {
            open += discovery.contains(each.peerHost()) ? 1 : 0;
        }
        return open;
    }
}
