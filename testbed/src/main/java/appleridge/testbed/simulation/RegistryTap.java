package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Tap;
import java.util.List;

/** Reports each connection that a sidecar opens to discovery, with its number of open ones. */
final class RegistryTap implements Tap {
    private final Network network;
    private final ProcessSlots slots;
    private final List<Host> discovery;
    private final DayListener evidence;

    RegistryTap(Network network, ProcessSlots slots, List<Host> discovery, DayListener evidence) {
        this.network = network;
        this.slots = slots;
        this.discovery = discovery;
        this.evidence = evidence;
    }

    @Override
    public void connecting(SimSocket socket) {
        if (discovery.contains(socket.peerHost()) && slots.slot(socket.host().name()) != null) {
            evidence.discoveryConnecting(socket.host().name(), openConnections(socket.host()));
        }
    }

    private int openConnections(Host sidecar) {
        int count = 0;
        for (SimSocket each : network.sockets(sidecar)) {
            count += discovery.contains(each.peerHost()) ? 1 : 0;
        }
        return count;
    }
}
