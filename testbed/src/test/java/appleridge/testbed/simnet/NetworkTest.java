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
    private static final long MS = World.MS;

    private final World world = new World(1);
    private final List<String> heard = new ArrayList<>();
    private final SimSocket.Events ears =
            new SimSocket.Events() {
                @Override
                public void connected() {
                    hear("connected");
                }

                @Override
                public void failed(IOException why) {
                    hear(why.getMessage());
                }

                @Override
                public void readable() {
                    hear("readable");
                }

                @Override
                public void writable() {
                    hear("writable");
                }

                private void hear(String what) {
                    heard.add(world.simulation.now() / 1_000 + " " + what);
                }
            };
    private SimListener listener;
    private SimSocket client;
    private SimSocket server;

    @BeforeEach
    void listen() throws IOException {
        listener = world.b.listen(World.at(2, 80), 2);
    }

    private void connect() throws IOException {
        client = world.connect(listener, new SimSocket.Events() {});
        server = client.peer();
    }

    @Test
    void connectsWithinARoundTripAndWaitsInTheBacklog() throws IOException {
        client = world.a.connect(World.at(2, 80), ears);
        world.run(MS);
        assertEquals(List.of("400 connected"), heard);
        assertEquals(1, listener.waiting());
        assertFalse(client.isAccepted());
        World.write(client, "early");
        world.run(MS);
        server = listener.accept();
        assertEquals("early", World.read(server));
        assertTrue(client.isAccepted() && client.peer() == server && server.id() == client.id());
        assertEquals(World.at(2, 80), client.remote());
        assertEquals(client.local(), server.remote());
        assertNull(listener.accept());
    }

    @Test
    void carriesBytesBothWaysAndTellsWhenTheyWereSent() throws IOException {
        connect();
        long sent = world.simulation.now();
        World.write(client, "ping");
        world.run(199_999);
        assertEquals("", World.read(server));
        world.run(1);
        assertEquals("ping", World.read(server));
        assertEquals(sent, server.sentAt());
        World.write(server, "pong");
        world.run(MS);
        assertEquals("pong", World.read(client));
        assertEquals(4, client.bytesWritten());
        assertEquals(4, client.bytesRead());
    }

    @Test
    void cutsIntoBytesThatComeApart() throws IOException {
        world.there().segment = 1;
        connect();
        server.events(ears);
        World.write(client, "abcd");
        world.run(MS);
        assertEquals(4, heard.size());
        assertEquals("abcd", World.read(server));
    }

    @Test
    void endsBehindAllBytes() throws IOException {
        connect();
        World.write(client, "last");
        client.shutdownOutput();
        world.run(MS);
        assertEquals("last!", World.read(server));
        World.write(server, "still heard");
        world.run(MS);
        assertEquals("still heard", World.read(client));
        assertThrows(IOException.class, () -> World.write(client, "x"));
    }

    @Test
    void closeWithUnreadInputResets() throws IOException {
        connect();
        World.write(server, "unread");
        world.run(MS);
        client.close();
        world.run(MS);
        assertEquals("?", World.read(server));
    }

    @Test
    void writingToAClosedEndDrawsAReset() throws IOException {
        connect();
        client.close();
        world.run(MS);
        assertEquals("!", World.read(server));
        assertEquals(1, World.write(server, "x"));
        world.run(MS);
        assertThrows(IOException.class, () -> World.write(server, "y"));
        assertEquals("?", World.read(server));
    }

    @Test
    void boundsWhatIsOnTheWay() throws IOException {
        world.there().sendBuffer = 100;
        world.there().receiveBuffer = 50;
        client = world.connect(listener, ears);
        heard.clear();
        server = client.peer();
        String text = "0123456789".repeat(30);
        assertEquals(150, World.write(client, text));
        world.run(MS);
        assertEquals(50, server.available());
        assertEquals(0, World.write(client, "more"));
        assertEquals(50, World.read(server).length());
        world.run(199_999);
        assertEquals(List.of(), heard);
        world.run(MS);
        assertEquals(List.of("2200 writable"), heard);
        assertEquals(50, World.write(client, text.substring(150, 200)));
        StringBuilder all = new StringBuilder(text.substring(0, 50));
        while (all.length() < 200) {
            all.append(World.read(server));
            world.run(MS);
        }
        assertEquals(text.substring(0, 200), all.toString());
    }

    @Test
    void keepsToTheLinesWidth() throws IOException {
        world.there().bytesPerSecond = 1_000_000;
        connect();
        World.write(client, "x".repeat(10_000));
        world.run(5 * MS + 200_000);
        int half = World.read(server).length();
        assertTrue(half >= 3_500 && half <= 5_000, "at " + half);
        world.run(5 * MS);
        assertEquals(10_000 - half, World.read(server).length());
    }

    @Test
    void keepsTheOrderHoweverLongEachTakes() throws IOException {
        world.there().jitter = 10 * MS;
        world.there().segment = -7;
        world.there().lossDelayProbability = 0.1;
        world.there().lossDelay = 200 * MS;
        connect();
        world.run(World.SECOND);
        server = listener.accept();
        String text = "0123456789".repeat(30);
        World.write(client, text);
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            world.run(100 * MS);
            all.append(World.read(client.peer()));
        }
        assertEquals(text, all.toString());
    }

    @Test
    void refusesWhereNobodyListens() throws IOException {
        world.a.connect(World.at(2, 81), ears);
        world.run(MS);
        assertEquals(1, heard.size());
        assertTrue(heard.get(0).startsWith("400 Connection refused"), heard.get(0));
        assertEquals(0, world.a.descriptors());
    }

    @Test
    void saysNothingWhereConnectsAreSilent() throws IOException {
        world.there().silentConnect = true;
        world.a.connect(World.at(2, 80), ears);
        world.run(6 * World.SECOND);
        assertEquals(List.of(), heard);
        world.there().silentConnect = false;
        world.run(2 * World.SECOND);
        assertEquals(List.of("7000400 connected"), heard);
    }

    @Test
    void aFullBacklogAnswersNothing() throws IOException {
        for (int i = 0; i < 3; i++) {
            world.a.connect(World.at(2, 80), ears);
            world.run(MS);
        }
        assertEquals(2, heard.size());
        assertEquals(2, listener.waiting());
        listener.accept();
        world.run(World.SECOND);
        assertEquals(3, heard.size());
        assertEquals("1002400 connected", heard.get(2));
    }

    @Test
    void descriptorsRunOut() throws IOException {
        world.a.maxDescriptors(1);
        world.b.maxDescriptors(1);
        client = world.a.connect(World.at(2, 80), ears);
        IOException none =
                assertThrows(IOException.class, () -> world.a.connect(World.at(2, 80), ears));
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
