package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;

/**
 * A connect in progress. The SYN is sent again after 1, 3, 7 ... seconds until the target accepts
 * or refuses it, or the attempts are used up.
 */
final class Handshake {
    private static final long SECOND = 1_000_000_000L;
    private static final long NO_ROUTE = 3 * SECOND;
    private static final int MAX_ATTEMPTS = 7;

    private final Network network;
    private final Simulation simulation;
    private final SimSocket client;
    private final Host target;
    private final NetworkConditions forward;
    private final NetworkConditions reverse;
    private SimSocket server;
    private SimListener listener;
    private Simulation.Event retry;
    private int attempts;

    Handshake(SimSocket client, Host target) {
        this.client = client;
        this.target = target;
        network = client.host().network();
        simulation = network.simulation();
        forward = network.conditions(client.host(), target);
        reverse = network.conditions(target, client.host());
    }

    static void begin(SimSocket client, Host target) {
        Handshake handshake = new Handshake(client, target);
        client.onAbandoned(handshake::abandon);
        handshake.sendSyn(client.host().localNow());
    }

    /** Fails a connect to an address that no machine has, after {@link #NO_ROUTE}. */
    static void failUnroutable(SimSocket client) {
        Simulation simulation = client.host().network().simulation();
        Simulation.Event end =
                simulation.after(
                        NO_ROUTE,
                        () ->
                                client.fail(
                                        new NoRouteToHostException(
                                                "No route to host: " + client.remote())));
        client.onAbandoned(end::cancel);
    }

    private void sendSyn(long when) {
        if (attempts == MAX_ATTEMPTS) {
            client.fail(new ConnectException("Connection timed out: " + client.remote()));
            return;
        }
        simulation.at(when + forward.travel(network.chance()), this::onSyn);
        long wait = SECOND << attempts++;
        retry = simulation.at(when + wait, () -> sendSyn(simulation.now()));
    }

    private void abandon() {
        if (retry != null) {
            retry.cancel();
        }
    }

    private boolean isCutOff() {
        return client.host().isIsolated() || target.isIsolated();
    }

    private void onSyn() {
        if (!isWaiting() || isCutOff() || forward.blackHole || forward.silentConnect) {
            return;
        }
        InetSocketAddress to = client.remote();
        SimListener found = forward.refuse ? null : network.listener(to, target);
        if (found == null) {
            reply(this::onRefused);
        } else if (!found.isFull()) {
            if (server == null || server.isForgotten() || found != listener) {
                listener = found;
                server =
                        new SimSocket(
                                target, client.host(), to, client.local(), client.id(), found);
                SimSocket.join(client, server);
            }
            reply(this::onAccepted);
        }
    }

    private void reply(Runnable action) {
        simulation.after(
                reverse.travel(network.chance()),
                () -> {
                    if (isWaiting() && !isCutOff() && !reverse.blackHole) {
                        action.run();
                    }
                });
    }

    private boolean isWaiting() {
        return client.isOpen() && !client.isEstablished() && !client.isMute();
    }

    private void onRefused() {
        IOException why = new ConnectException("Connection refused: " + client.remote());
        client.fail(why);
    }

    private void onAccepted() {
        retry.cancel();
        client.establish();
    }
}
