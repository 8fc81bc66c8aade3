package appleridge.testbed.simnet;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;

/**
 * A connect under way: its first word is said again after 1, 3, 7 ... seconds until something
 * answers.
 */
final class Handshake {
    private static final long SECOND = 1_000_000_000L;
    private static final long NO_ROUTE = 3 * SECOND;
    private static final int TRIES = 7;

    private final Network network;
    private final Simulation simulation;
    private final SimSocket client;
    private final Host target;
    private final NetworkConditions there;
    private final NetworkConditions back;
    private SimSocket server;
    private SimListener listener;
    private Simulation.Event retry;
    private int tries;

    Handshake(SimSocket client, Host target) {
        this.client = client;
        this.target = target;
        network = client.host().network();
        simulation = network.simulation();
        there = network.conditions(client.host(), target);
        back = network.conditions(target, client.host());
    }

    static void begin(SimSocket client, Host target) {
        Handshake handshake = new Handshake(client, target);
        client.onAbandoned(handshake::abandon);
        handshake.call(client.host().localNow());
    }

    /** There is no machine at that address. */
    static void lost(SimSocket client) {
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

    private void call(long when) {
        if (tries == TRIES) {
            client.fail(new ConnectException("Connection timed out: " + client.remote()));
            return;
        }
        simulation.at(when + there.travel(network.chance()), this::called);
        long wait = SECOND << tries++;
        retry = simulation.at(when + wait, () -> call(simulation.now()));
    }

    private void abandon() {
        if (retry != null) {
            retry.cancel();
        }
    }

    private boolean isDark() {
        return client.host().isVanished() || target.isVanished();
    }

    private void called() {
        if (!isWaiting() || isDark() || there.blackHole || there.silentConnect) {
            return;
        }
        InetSocketAddress to = client.remote();
        SimListener found = there.refuse ? null : network.listener(to, target);
        if (found == null) {
            answer(this::refused);
        } else if (!found.isFull()) {
            if (server == null || server.isForgotten() || found != listener) {
                listener = found;
                server =
                        new SimSocket(
                                target, client.host(), to, client.local(), client.id(), found);
                SimSocket.join(client, server);
            }
            answer(this::welcomed);
        }
    }

    private void answer(Runnable heard) {
        simulation.after(
                back.travel(network.chance()),
                () -> {
                    if (isWaiting() && !isDark() && !back.blackHole) {
                        heard.run();
                    }
                });
    }

    private boolean isWaiting() {
        return client.isOpen() && !client.isEstablished() && !client.isMute();
    }

    private void refused() {
        IOException why = new ConnectException("Connection refused: " + client.remote());
        client.fail(why);
    }

    private void welcomed() {
        retry.cancel();
        client.establish();
    }
}
