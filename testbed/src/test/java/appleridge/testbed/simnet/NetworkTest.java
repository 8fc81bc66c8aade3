package appleridge.testbed.simnet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NetworkTest {
    private static final long MS = TwoHosts.MS;

    private final TwoHosts world = new TwoHosts(1);
    private final List<String> events = new ArrayList<>();
    private final SimSocket.Events recorder =
            new SimSocket.Events() {
                @Override
                public void connected() {
                    record("connected");
                }

                @Override
                public void failed(IOException why) {
                    record(why.getMessage());
                }

                @Override
                public void readable() {
                    record("readable");
                }

                @Override
                public void writable() {
                    record("writable");
                }

                private void record(String what) {
                    events.add(world.simulation.now() / 1_000 + " " + what);
                }
            };
    private SimListener listener;
    private SimSocket client;
    private SimSocket server;

    @BeforeEach
    void listen() throws IOException {
        listener = world.b.listen(TwoHosts.at(2, 80), 2);
    }

    private void connect() throws IOException {
        client = world.connect(listener, new SimSocket.Events() {});
        server = client.peer();
    }

    @Test
    void connectsWithinARoundTripAndWaitsInTheBacklog() throws IOException {
        client = world.a.connect(TwoHosts.at(2, 80), recorder);
        world.run(MS);
        assertEquals(List.of("400 connected"), events);
        assertEquals(1, listener.waiting());
        assertFalse(client.isAccepted());
        TwoHosts.write(client, "early");
        world.run(MS);
        server = listener.accept();
        assertEquals("early", TwoHosts.read(server));
        assertTrue(client.isAccepted() && client.peer() == server && server.id() == client.id());
        assertEquals(TwoHosts.at(2, 80), client.remote());
        assertEquals(client.local(), server.remote());
        assertNull(listener.accept());
    }

    @Test
    void carriesBytesBothWaysAndReportsWhenTheyWereSent() throws IOException {
        connect();
        long sent = world.simulation.now();
        TwoHosts.write(client, "ping");
        world.run(199_999);
        assertEquals("", TwoHosts.read(server));
        world.run(1);
        assertEquals("ping", TwoHosts.read(server));
        assertEquals(sent, server.sentAt());
        TwoHosts.write(server, "pong");
        world.run(MS);
        assertEquals("pong", TwoHosts.read(client));
        assertEquals(4, client.bytesWritten());
        assertEquals(4, client.bytesRead());
    }

    @Test
    void deliversOneByteSegmentsSeparately() throws IOException {
        world.aToB().segment = 1;
        connect();
        server.events(recorder);
        TwoHosts.write(client, "abcd");
        world.run(MS);
        assertEquals(4, events.size());
        assertEquals("abcd", TwoHosts.read(server));
    }

    @Test
    void deliversTheEndAfterAllBytes() throws IOException {
        connect();
        TwoHosts.write(client, "last");
        client.shutdownOutput();
        world.run(MS);
        assertEquals("last!", TwoHosts.read(server));
        TwoHosts.write(server, "still heard");
        world.run(MS);
        assertEquals("still heard", TwoHosts.read(client));
        assertThrows(IOException.class, () -> TwoHosts.write(client, "x"));
    }

    @Test
    void closeWithUnreadInputResetsThePeer() throws IOException {
        connect();
        TwoHosts.write(server, "unread");
        world.run(MS);
        client.close();
        world.run(MS);
        assertEquals("?", TwoHosts.read(server));
    }

    @Test
    void writingToAClosedPeerCausesAReset() throws IOException {
        connect();
        client.close();
        world.run(MS);
        assertEquals("!", TwoHosts.read(server));
        assertEquals(1, TwoHosts.write(server, "x"));
        world.run(MS);
        assertThrows(IOException.class, () -> TwoHosts.write(server, "y"));
        assertEquals("?", TwoHosts.read(server));
    }

    @Test
    void boundsTheBytesInFlightAndNotifiesOfRoom() throws IOException {
        world.aToB().sendBuffer = 100;
        world.aToB().receiveBuffer = 50;
        client = world.connect(listener, recorder);
        events.clear();
        server = client.peer();
        String text = "0123456789".repeat(30);
        assertEquals(150, TwoHosts.write(client, text));
        world.run(MS);
        assertEquals(50, server.available());
        assertEquals(0, TwoHosts.write(client, "more"));
        assertEquals(50, TwoHosts.read(server).length());
        world.run(199_999);
        assertEquals(List.of(), events);
        world.run(MS);
        assertEquals(List.of("2200 writable"), events);
        assertEquals(50, TwoHosts.write(client, text.substring(150, 200)));
        StringBuilder all = new StringBuilder(text.substring(0, 50));
        while (all.length() < 200) {
            all.append(TwoHosts.read(server));
            world.run(MS);
        }
        assertEquals(text.substring(0, 200), all.toString());
    }

    @Test
    void limitsTheBandwidth() throws IOException {
        world.aToB().bytesPerSecond = 1_000_000;
        connect();
        TwoHosts.write(client, "x".repeat(10_000));
        world.run(5 * MS + 200_000);
        int half = TwoHosts.read(server).length();
        assertTrue(half >= 3_500 && half <= 5_000, "at " + half);
        world.run(5 * MS);
        assertEquals(10_000 - half, TwoHosts.read(server).length());
    }

    @Test
    void keepsBytesInOrderDespiteJitterAndLoss() throws IOException {
        world.aToB().jitter = 10 * MS;
        world.aToB().segment = -7;
        world.aToB().lossDelayProbability = 0.1;
        world.aToB().lossDelay = 200 * MS;
        connect();
        world.run(TwoHosts.SECOND);
        server = listener.accept();
        String text = "0123456789".repeat(30);
        TwoHosts.write(client, text);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            world.run(100 * MS);
            all.append(TwoHosts.read(client.peer()));
        }
        assertEquals(text, all.toString());
    }

    @Test
    void refusesAConnectWithoutListener() throws IOException {
        world.a.connect(TwoHosts.at(2, 81), recorder);
        world.run(MS);
        assertEquals(1, events.size());
        assertTrue(events.get(0).startsWith("400 Connection refused"), events.get(0));
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void retriesASilentConnectUntilItIsAnswered() throws IOException {
        world.aToB().silentConnect = true;
        world.a.connect(TwoHosts.at(2, 80), recorder);
        world.run(6 * TwoHosts.SECOND);
        assertEquals(List.of(), events);
        world.aToB().silentConnect = false;
        world.run(2 * TwoHosts.SECOND);
        assertEquals(List.of("7000400 connected"), events);
    }

    @Test
    void ignoresAConnectWhileTheBacklogIsFull() throws IOException {
        for (int i = 0; i < 3; i++) {
            world.a.connect(TwoHosts.at(2, 80), recorder);
            world.run(MS);
        }
        assertEquals(2, events.size());
        assertEquals(2, listener.waiting());
        listener.accept();
        world.run(TwoHosts.SECOND);
        assertEquals(3, events.size());
        assertEquals("1002400 connected", events.get(2));
    }

    @Test
    void enforcesTheDescriptorLimit() throws IOException {
        world.a.maxDescriptors(1);
        world.b.maxDescriptors(1);
        client = world.a.connect(TwoHosts.at(2, 80), recorder);
        IOException none =
                assertThrows(
                        IOException.class, () -> world.a.connect(TwoHosts.at(2, 80), recorder));
        assertEquals("Too many open files", none.getMessage());
        world.run(MS);
        assertThrows(IOException.class, listener::accept);
        assertEquals(1, listener.waiting());
        world.b.maxDescriptors(2);
        assertEquals(client.peer(), listener.accept());
        client.close();
        assertEquals(0, world.a.descriptors());
    }
}
