package appleridge.testbed.simnet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultTest {
    private static final long MS = World.MS;

    private World world;
    private SimListener listener;
    private SimSocket client;
    private SimSocket server;
    private final List<String> ended = new ArrayList<>();

    @BeforeEach
    void begin() throws IOException {
        begin(1);
    }

    private void begin(long seed) throws IOException {
        world = new World(seed);
        world.network.tap(
                new Tap() {
                    @Override
                    public void ended(SimSocket socket, String how) {
                        ended.add(socket.host().name() + " " + how);
                    }
                });
        listener = world.b.listen(World.at(2, 80), 5);
        client = world.connect(listener, new SimSocket.Events() {});
        server = client.peer();
    }

    @Test
    void aResetLosesWhatIsOnTheWayAndMostlyWhatHasArrived() throws IOException {
        Set<String> seen = new TreeSet<>();
        for (int seed = 0; seed < 50; seed++) {
            begin(seed);
            World.write(client, "arrived");
            world.run(MS);
            World.write(client, "on the way");
            client.fault(SimSocket.Fault.RESET);
            assertThrows(IOException.class, () -> World.write(client, "x"));
            world.run(MS);
            seen.add(World.read(server));
            assertEquals("?", World.read(client));
        }
        assertEquals(Set.of("?", "arrived?"), seen);
    }

    @Test
    void aResetBehindDeliveryLetsAllArrive() throws IOException {
        World.write(client, "request");
        World.write(server, "answer");
        client.fault(SimSocket.Fault.RESET_AFTER_DELIVERY);
        world.run(MS);
        assertEquals("request?", World.read(server));
        assertEquals("answer?", World.read(client));
        assertEquals(List.of("a reset", "b reset"), ended.stream().sorted().toList());
    }

    @Test
    void breaksAtEachByte() throws IOException {
        for (int position = 0; position <= 8; position++) {
            begin();
            world.there().segment = position % 2;
            client.resetAtByte(position);
            assertEquals(7, World.write(client, "request"));
            world.run(MS);
            boolean broken = position < 7;
            assertEquals(
                    "request".substring(0, Math.min(7, position)) + (broken ? "?" : ""),
                    World.read(server));
            assertEquals(broken ? "?" : "", World.read(client));
            assertEquals(7, client.bytesWritten());
        }
    }

    @Test
    void theSenderHearsOfABreakHalfATripLater() throws IOException {
        List<Long> heard = new ArrayList<>();
        client.events(
                new SimSocket.Events() {
                    @Override
                    public void readable() {
                        heard.add(world.simulation.now());
                    }
                });
        long sent = world.simulation.now();
        client.resetAtByte(3);
        World.write(client, "request");
        world.run(MS);
        assertEquals(List.of(sent + 400_000), heard);
    }

    @Test
    void aSenderWritesIntoTheVoidUntilItHearsOfABreak() throws IOException {
        client.resetAtByte(3);
        assertEquals(7, World.write(client, "request"));
        assertEquals(4, World.write(client, "more"));
        world.run(MS);
        assertEquals("req?", World.read(server));
        assertThrows(IOException.class, () -> World.write(client, "x"));
    }

    @Test
    void aBreakAtAByteThatHasLeftIsAResetNow() throws IOException {
        World.write(client, "request");
        client.resetAtByte(3);
        world.run(MS);
        assertEquals("?", World.read(server));
    }

    @Test
    void aBreakPlannedWhileItConnectsStrikesToo() throws IOException {
        client = world.a.connect(World.at(2, 80), new SimSocket.Events() {});
        client.resetAtByte(2);
        world.run(MS);
        World.write(client, "abc");
        world.run(MS);
        assertEquals("ab?", World.read(client.peer()));
    }

    @Test
    void anEndFromOutsideIsAHalfClose() throws IOException {
        World.write(server, "last words");
        server.fault(SimSocket.Fault.END);
        world.run(MS);
        assertEquals("last words!", World.read(client));
        World.write(client, "heard");
        world.run(MS);
        assertEquals("heard", World.read(server));
    }

    @Test
    void silenceIsNeverBroken() throws IOException {
        client.fault(SimSocket.Fault.BLACK_HOLE);
        World.write(client, "into the void");
        server.reset();
        world.run(500 * World.SECOND);
        assertEquals("", World.read(client));
        begin();
        client.fault(SimSocket.Fault.SILENCE);
        World.write(client, "not heard");
        World.write(server, "heard");
        world.run(MS);
        assertEquals("heard", World.read(client));
        assertEquals("", World.read(server));
    }

    @Test
    void aShutWindowStaysShut() throws IOException {
        server.fault(SimSocket.Fault.STALL_READS);
        World.write(client, "x".repeat(100));
        world.run(100 * World.SECOND);
        assertEquals("", World.read(server));
        begin();
        World.write(client, "before");
        server.fault(SimSocket.Fault.STALL_READS);
        world.run(World.SECOND);
        assertEquals("before", World.read(server));
    }

    @Test
    void aBlackHoleThatEndsDeliversLate() throws IOException {
        world.there().blackHole = true;
        World.write(client, "late");
        client.shutdownOutput();
        world.run(World.SECOND);
        assertEquals("", World.read(server));
        world.there().blackHole = false;
        world.run(World.SECOND);
        assertEquals("late!", World.read(server));
    }

    @Test
    void aResetIntoABlackHoleIsLostAndTheNextSegmentDrawsAnother() throws IOException {
        world.back().blackHole = true;
        server.reset();
        world.run(World.SECOND);
        world.back().blackHole = false;
        world.run(World.SECOND);
        assertFalse(client.isReset());
        World.write(client, "anybody there");
        world.run(MS);
        assertEquals("?", World.read(client));
    }

    @Test
    void aMachineThatComesBackResetsAtTheNextSegment() throws IOException {
        world.b.vanish();
        World.write(client, "into the dark");
        world.run(World.SECOND);
        assertFalse(client.isReset());
        world.b.reappear();
        world.run(World.SECOND);
        assertTrue(client.isReset());
        assertTrue(server.isReset());
        assertEquals(0, listener.waiting());
        SimSocket again = world.connect(listener, new SimSocket.Events() {});
        assertTrue(again.isAccepted());
    }

    @Test
    void anIdleConnectionHearsOnlyWhenItSpeaks() throws IOException {
        world.b.vanish();
        world.run(World.SECOND);
        world.b.reappear();
        world.run(World.SECOND);
        assertFalse(client.isReset());
        World.write(client, "hello");
        world.run(MS);
        assertTrue(client.isReset());
    }

    @Test
    void aDeadProcessResetsItsConnectionsAndRefusesNewOnes() throws IOException {
        SimSocket waiting = world.a.connect(World.at(2, 80), new SimSocket.Events() {});
        world.run(MS);
        world.b.die();
        world.run(199_000);
        assertFalse(client.isReset());
        world.run(1_000);
        assertTrue(client.isReset() && waiting.isReset());
        assertFalse(world.b.alive());
        assertEquals(0, world.b.descriptors());
        SimSocket late = world.a.connect(World.at(2, 80), new SimSocket.Events() {});
        world.run(MS);
        assertFalse(late.isOpen());
        world.b.listen(World.at(2, 80), 5);
        assertTrue(world.b.alive());
    }

    @Test
    void anotherProcessTakesOverTheAddress() throws IOException {
        Host next = world.network.host("b2", World.address(2), 100);
        assertThrows(IOException.class, () -> next.listen(World.at(2, 80), 5));
        world.b.die();
        SimListener its = next.listen(World.at(2, 80), 5);
        SimSocket socket = world.connect(its, new SimSocket.Events() {});
        assertEquals(next, socket.peerHost());
        assertEquals(next, socket.peer().host());
    }

    @Test
    void aListenerThatClosesResetsItsBacklog() throws IOException {
        SimSocket waiting = world.a.connect(World.at(2, 80), new SimSocket.Events() {});
        world.run(MS);
        listener.close();
        world.run(MS);
        assertTrue(waiting.isReset());
        assertFalse(client.isReset());
    }

    @Test
    void aFaultFromWithinATapStrikesThatVeryWrite() throws IOException {
        world.network.tap(
                new Tap() {
                    @Override
                    public void written(SimSocket by, byte[] bytes, int offset, int length) {
                        by.resetAtByte(by.bytesWritten() - 1);
                    }
                });
        World.write(client, "request");
        world.run(MS);
        assertEquals("reques?", World.read(server));
    }

    @Test
    void theMomentInWhichItBreaksAtAByteIsTold() throws IOException {
        List<String> told = new ArrayList<>();
        client.resetAtByte(3, () -> told.add("broke"));
        World.write(client, "abc");
        world.run(MS);
        assertEquals(List.of(), told);
        assertEquals(3, client.bytesTransmitted());
        World.write(client, "d");
        assertEquals(List.of("broke"), told);
    }

    @Test
    void nobodyAtThatAddressMeansNoRoute() throws IOException {
        List<String> why = new ArrayList<>();
        world.a.connect(
                World.at(9, 80),
                new SimSocket.Events() {
                    @Override
                    public void failed(IOException e) {
                        why.add(e.getClass().getSimpleName());
                    }
                });
        world.run(5 * World.SECOND);
        assertEquals(List.of("NoRouteToHostException"), why);
    }
}
