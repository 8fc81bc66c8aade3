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
    private static final long MS = TwoHosts.MS;

    private TwoHosts world;
    private SimListener listener;
    private SimSocket client;
    private SimSocket server;
    private final List<String> ended = new ArrayList<>();

    @BeforeEach
    void setUp() throws IOException {
        setUp(1);
    }

    private void setUp(long seed) throws IOException {
        world = new TwoHosts(seed);
        world.network.tap(
                new Tap() {
                    @Override
                    public void ended(SimSocket socket, String how) {
                        ended.add(socket.host().name() + " " + how);
                    }
                });
        listener = world.b.listen(TwoHosts.at(2, 80), 5);
        client = world.connect(listener, new SimSocket.Events() {});
        server = client.peer();
    }

    @Test
    void resetLosesSegmentsInFlightAndMostlyUnreadBytes() throws IOException {
        Set<String> seen = new TreeSet<>();
        for (int seed = 0; seed < 50; seed++) {
            setUp(seed);
            TwoHosts.write(client, "arrived");
            world.run(MS);
            TwoHosts.write(client, "on the way");
            client.fault(SimSocket.Fault.RESET);
            assertThrows(IOException.class, () -> TwoHosts.write(client, "x"));
            world.run(MS);
            seen.add(TwoHosts.read(server));
            assertEquals("?", TwoHosts.read(client));
        }
        assertEquals(Set.of("?", "arrived?"), seen);
    }

    @Test
    void resetAfterDeliveryLetsSegmentsInFlightArrive() throws IOException {
        TwoHosts.write(client, "request");
        TwoHosts.write(server, "answer");
        client.fault(SimSocket.Fault.RESET_AFTER_DELIVERY);
        world.run(MS);
        assertEquals("request?", TwoHosts.read(server));
        assertEquals("answer?", TwoHosts.read(client));
        assertEquals(List.of("a reset", "b reset"), ended.stream().sorted().toList());
    }

    @Test
    void breaksAtEachByte() throws IOException {
        for (int position = 0; position <= 8; position++) {
            setUp();
            world.aToB().segment = position % 2;
            client.resetAtByte(position);
            assertEquals(7, TwoHosts.write(client, "request"));
            world.run(MS);
            boolean broken = position < 7;
            assertEquals(
                    "request".substring(0, Math.min(7, position)) + (broken ? "?" : ""),
                    TwoHosts.read(server));
            assertEquals(broken ? "?" : "", TwoHosts.read(client));
            assertEquals(7, client.bytesWritten());
        }
    }

    @Test
    void senderLearnsOfABreakOneTripAfterItHappens() throws IOException {
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
        TwoHosts.write(client, "request");
        world.run(MS);
        assertEquals(List.of(sent + 400_000), heard);
    }

    @Test
    void senderKeepsWritingUntilItLearnsOfABreak() throws IOException {
        client.resetAtByte(3);
        assertEquals(7, TwoHosts.write(client, "request"));
        assertEquals(4, TwoHosts.write(client, "more"));
        world.run(MS);
        assertEquals("req?", TwoHosts.read(server));
        assertThrows(IOException.class, () -> TwoHosts.write(client, "x"));
    }

    @Test
    void breakAtATransmittedByteResetsImmediately() throws IOException {
        TwoHosts.write(client, "request");
        client.resetAtByte(3);
        world.run(MS);
        assertEquals("?", TwoHosts.read(server));
    }

    @Test
    void breakPlannedWhileConnectingTakesEffect() throws IOException {
        client = world.a.connect(TwoHosts.at(2, 80), new SimSocket.Events() {});
        client.resetAtByte(2);
        world.run(MS);
        TwoHosts.write(client, "abc");
        world.run(MS);
        assertEquals("ab?", TwoHosts.read(client.peer()));
    }

    @Test
    void endFaultIsAHalfClose() throws IOException {
        TwoHosts.write(server, "last words");
        server.fault(SimSocket.Fault.END);
        world.run(MS);
        assertEquals("last words!", TwoHosts.read(client));
        TwoHosts.write(client, "heard");
        world.run(MS);
        assertEquals("heard", TwoHosts.read(server));
    }

    @Test
    void nothingArrivesThroughABlackHoleOrFromASilencedEnd() throws IOException {
        client.fault(SimSocket.Fault.BLACK_HOLE);
        TwoHosts.write(client, "into the void");
        server.reset();
        world.run(500 * TwoHosts.SECOND);
        assertEquals("", TwoHosts.read(client));
        setUp();
        client.fault(SimSocket.Fault.SILENCE);
        TwoHosts.write(client, "not heard");
        TwoHosts.write(server, "heard");
        world.run(MS);
        assertEquals("heard", TwoHosts.read(client));
        assertEquals("", TwoHosts.read(server));
    }

    @Test
    void stalledReaderKeepsItsWindowClosed() throws IOException {
        server.fault(SimSocket.Fault.STALL_READS);
        TwoHosts.write(client, "x".repeat(100));
        world.run(100 * TwoHosts.SECOND);
        assertEquals("", TwoHosts.read(server));
        setUp();
        TwoHosts.write(client, "before");
        server.fault(SimSocket.Fault.STALL_READS);
        world.run(TwoHosts.SECOND);
        assertEquals("before", TwoHosts.read(server));
    }

    @Test
    void bytesSentIntoABlackHoleArriveAfterItEnds() throws IOException {
        world.aToB().blackHole = true;
        TwoHosts.write(client, "late");
        client.shutdownOutput();
        world.run(TwoHosts.SECOND);
        assertEquals("", TwoHosts.read(server));
        world.aToB().blackHole = false;
        world.run(TwoHosts.SECOND);
        assertEquals("late!", TwoHosts.read(server));
    }

    @Test
    void resetIntoABlackHoleIsLostAndTheNextSegmentCausesAnother() throws IOException {
        world.bToA().blackHole = true;
        server.reset();
        world.run(TwoHosts.SECOND);
        world.bToA().blackHole = false;
        world.run(TwoHosts.SECOND);
        assertFalse(client.isReset());
        TwoHosts.write(client, "anybody there");
        world.run(MS);
        assertEquals("?", TwoHosts.read(client));
    }

    @Test
    void machineThatReappearsResetsOnTheNextSegment() throws IOException {
        world.b.isolate();
        TwoHosts.write(client, "into the dark");
        world.run(TwoHosts.SECOND);
        assertFalse(client.isReset());
        world.b.reconnect();
        world.run(TwoHosts.SECOND);
        assertTrue(client.isReset());
        assertTrue(server.isReset());
        assertEquals(0, listener.waiting());
        SimSocket again = world.connect(listener, new SimSocket.Events() {});
        assertTrue(again.isAccepted());
    }

    @Test
    void idlePeerLearnsOfALostConnectionOnlyByWriting() throws IOException {
        world.b.isolate();
        world.run(TwoHosts.SECOND);
        world.b.reconnect();
        world.run(TwoHosts.SECOND);
        assertFalse(client.isReset());
        TwoHosts.write(client, "hello");
        world.run(MS);
        assertTrue(client.isReset());
    }

    @Test
    void deadProcessResetsItsConnectionsAndRefusesNewOnes() throws IOException {
        SimSocket waiting = world.a.connect(TwoHosts.at(2, 80), new SimSocket.Events() {});
        world.run(MS);
        world.b.die();
        world.run(199_000);
        assertFalse(client.isReset());
        world.run(1_000);
        assertTrue(client.isReset() && waiting.isReset());
        assertFalse(world.b.alive());
        assertEquals(0, world.b.descriptors());
        SimSocket late = world.a.connect(TwoHosts.at(2, 80), new SimSocket.Events() {});
        world.run(MS);
        assertFalse(late.isOpen());
        world.b.listen(TwoHosts.at(2, 80), 5);
        assertTrue(world.b.alive());
    }

    @Test
    void anotherProcessTakesOverTheAddress() throws IOException {
        Host next = world.network.host("b2", TwoHosts.address(2), 100);
        assertThrows(IOException.class, () -> next.listen(TwoHosts.at(2, 80), 5));
        world.b.die();
        SimListener its = next.listen(TwoHosts.at(2, 80), 5);
        SimSocket socket = world.connect(its, new SimSocket.Events() {});
        assertEquals(next, socket.peerHost());
        assertEquals(next, socket.peer().host());
    }

    @Test
    void closingAListenerResetsItsBacklog() throws IOException {
        SimSocket waiting = world.a.connect(TwoHosts.at(2, 80), new SimSocket.Events() {});
        world.run(MS);
        listener.close();
        world.run(MS);
        assertTrue(waiting.isReset());
        assertFalse(client.isReset());
    }

    @Test
    void faultInjectedByATapAffectsTheCurrentWrite() throws IOException {
        world.network.tap(
                new Tap() {
                    @Override
                    public void written(SimSocket by, byte[] bytes, int offset, int length) {
                        by.resetAtByte(by.bytesWritten() - 1);
                    }
                });
        TwoHosts.write(client, "request");
        world.run(MS);
        assertEquals("reques?", TwoHosts.read(server));
    }

    @Test
    void callbackRunsWhenTheConnectionBreaksAtAByte() throws IOException {
        List<String> told = new ArrayList<>();
        client.resetAtByte(3, () -> told.add("broke"));
        TwoHosts.write(client, "abc");
        world.run(MS);
        assertEquals(List.of(), told);
        assertEquals(3, client.bytesTransmitted());
        TwoHosts.write(client, "d");
        assertEquals(List.of("broke"), told);
    }

    @Test
    void connectToAnUnknownAddressHasNoRoute() throws IOException {
        List<String> why = new ArrayList<>();
        world.a.connect(
                TwoHosts.at(9, 80),
                new SimSocket.Events() {
                    @Override
                    public void failed(IOException e) {
                        why.add(e.getClass().getSimpleName());
                    }
                });
        world.run(5 * TwoHosts.SECOND);
        assertEquals(List.of("NoRouteToHostException"), why);
    }
}
