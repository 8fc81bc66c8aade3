package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestStatesTest {
    private Wire wire;
    private RequestStates states;
    private SimSocket client;
    private SimSocket sideToClient;

    @BeforeEach
    void connect() throws IOException {
        wire = new Wire();
        states = wire.states;
        SimSocket[] ends = wire.connected(wire.app, wire.sideListens);
        client = ends[0];
        sideToClient = ends[1];
    }

    private void asked(String id) throws IOException {
        wire.asks(id);
        Wire.write(client, Wire.get(id));
        states.requestSent(id);
    }

    private void entered(String... all) {
        assertEquals(List.of(all), wire.entered);
        wire.entered.clear();
    }

    @Test
    void knowsWhenItsConnectionWasAccepted() throws IOException {
        assertEquals(AttemptRecord.NEVER, states.acceptedAt("r"));
        long accepted = wire.simulation.now();
        wire.run();
        asked("r");
        assertEquals(accepted, states.acceptedAt("r"));
        wire.asks("s");
        assertEquals(AttemptRecord.NEVER, states.acceptedAt("s"));
    }

    @Test
    void followsARequestThroughAllItsStates() throws IOException {
        wire.asks("r");
        assertEquals(RequestState.ARRIVING, states.state("r"));
        Wire.write(client, "GET /api HTTP/1.1\r\nx-REQUEST-id:r\r");
        entered();
        Wire.write(client, "\nHost: origin.svc\r\n\r");
        entered("ARRIVING r");
        assertSame(client, states.all().get(0).client());
        Wire.write(client, "\n");
        states.requestSent("r");
        entered("HELD r");
        wire.sends(1);
        entered();
        SimSocket upstream = wire.connect(wire.side, wire.serverListens);
        entered("CONNECTING r");
        ObservedRequest connecting = states.all().get(0);
        assertSame(upstream, connecting.upstream());
        assertEquals("a-1", connecting.server());
        wire.run();
        Wire.write(upstream, "G");
        entered("WRITING r");
        Wire.write(upstream, Wire.get("r").substring(1));
        entered("WRITTEN r");
        wire.run();
        SimSocket server = wire.serverListens.accept();
        Wire.write(server, "H");
        Wire.write(server, Wire.answer("good").substring(1));
        entered("ANSWERING r");
        Wire.write(sideToClient, Wire.answer("good"));
        entered("ANSWERED r");
        wire.run();
        Wire.read(client);
        states.answered("r", 200, "good", -1, 0);
        entered("IDLE r");
        assertEquals(1, states.at(Wire.SIDE).size());
        asked("s");
        entered("ARRIVING s", "HELD s");
        assertNull(states.state("r"));
    }

    @Test
    void aKeptConnectionIsWrittenToAtOnce() throws IOException {
        SimSocket upstream = wire.connected(wire.side, wire.serverListens)[0];
        asked("r");
        wire.entered.clear();
        wire.sends(1);
        Wire.write(upstream, Wire.get("r"));
        entered("WRITING r", "WRITTEN r");
        assertSame(upstream, states.at("a-1").get(0).upstream());
        states.answered("r", 200, "", -1, 0);
        wire.entered.clear();
        asked("s");
        wire.entered.clear();
        wire.sends(2);
        Wire.write(upstream, Wire.get("s"));
        entered("WRITING s", "WRITTEN s");
    }

    @Test
    void knowsALaterAttemptFromTheFirst() throws IOException {
        asked("r");
        wire.sends(1);
        SimSocket[] first = wire.connected(wire.side, wire.serverListens);
        Wire.write(first[0], Wire.get("r"));
        wire.entered.clear();
        wire.fails(1, 0);
        entered("RESEND_HELD r");
        assertNull(states.all().get(0).upstream());
        wire.sends(1);
        SimSocket[] second = wire.connected(wire.side, wire.serverListens);
        entered("RESEND_CONNECTING r");
        Wire.write(second[0], "GET ");
        entered("RESEND_WRITING r");
        Wire.write(second[0], Wire.get("r").substring(4));
        entered("RESEND_WRITTEN r");
        Wire.write(first[1], Wire.answer("late"));
        entered();
        Wire.write(second[1], Wire.answer("good"));
        entered("RESEND_ANSWERING r");
        wire.fails(1, 0);
        entered();
        Wire.write(sideToClient, Wire.answer("good"));
        entered("ANSWERED r");
        wire.fails(1, 1);
        entered();
    }

    @Test
    void aBodyIsPartOfTheRequestInWhateverPiecesItComes() throws IOException {
        String post =
                "POST /api HTTP/1.1\r\nX-Request-Id: r\r\nContent-Length: 10\r\n\r\n0123456789";
        wire.asks("r");
        for (int i = 0; i < post.length(); i++) {
            Wire.write(client, post.substring(i, i + 1));
        }
        entered("ARRIVING r");
        states.requestSent("r");
        wire.sends(1);
        SimSocket upstream = wire.connected(wire.side, wire.serverListens)[0];
        wire.entered.clear();
        Wire.write(upstream, post.substring(0, post.length() - 1));
        entered("WRITING r");
        Wire.write(upstream, "9");
        entered("WRITTEN r");
    }

    @Test
    void chunksEndWithAnEmptyOne() throws IOException {
        wire.asks("r");
        Wire.write(
                client,
                "POST /api HTTP/1.1\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n");
        Wire.write(client, "3\r\n0\r\n\r\n0\r\n\r");
        assertFalse(states.wasRead("r"));
        wire.run();
        Wire.read(sideToClient);
        assertFalse(states.wasRead("r"));
        Wire.write(client, "\n");
        wire.run();
        Wire.read(sideToClient);
        assertTrue(states.wasRead("r"));
    }

    @Test
    void knowsPlaceAndWhatIsAheadAndWhatWasRead() throws IOException {
        asked("r");
        Wire.write(client, Wire.get("s").substring(0, 50));
        wire.asks("s");
        Wire.write(client, Wire.get("s").substring(50));
        states.requestSent("s");
        assertEquals(1, states.place("r"));
        assertEquals(2, states.place("s"));
        assertNull(states.ahead("r"));
        assertEquals("r", states.ahead("s"));
        wire.run();
        sideToClient.read(new byte[1000], 0, Wire.get("r").length() + 60);
        assertTrue(states.wasRead("r"));
        assertFalse(states.wasRead("s"));
        Wire.read(sideToClient);
        assertTrue(states.wasRead("s"));
        assertEquals(0, states.place("unknown"));
    }

    @Test
    void answersGoOutInTheOrderOfTheRequests() throws IOException {
        asked("r");
        asked("s");
        wire.entered.clear();
        Wire.write(sideToClient, Wire.answer("one") + Wire.answer("two").substring(0, 3));
        entered("ANSWERED r", "ANSWERED s");
        states.answered("r", 200, "one", -1, 0);
        entered();
        assertNull(states.state("r"));
        states.answered("s", 200, "two", -1, 0);
        entered("IDLE s");
    }

    @Test
    void anInterimAnswerIsNone() throws IOException {
        asked("r");
        wire.entered.clear();
        Wire.write(sideToClient, "HTTP/1.1 100 Continue\r\n\r\n");
        entered();
        Wire.write(sideToClient, Wire.answer("good"));
        entered("ANSWERED r");
    }

    @Test
    void knowsWhenAClientHasClosed() throws IOException {
        asked("r");
        assertEquals(-1, states.closedAt("r"));
        states.clientGaveUp("r");
        client.close();
        long closed = wire.simulation.now();
        wire.run();
        assertEquals(closed, states.closedAt("r"));
        assertNull(states.state("r"));
    }

    @Test
    void aKeptConnectionThatIsClosedIsIdleNoMore() throws IOException {
        asked("r");
        states.answered("r", 200, "", -1, 0);
        assertEquals(RequestState.IDLE, states.state("r"));
        client.close();
        assertNull(states.state("r"));
    }

    @Test
    void anIdUsedByAnotherClientIsNotItsRequest() throws IOException {
        asked("r");
        SimSocket bad = wire.connected(wire.app, wire.sideListens)[0];
        Wire.write(bad, Wire.get("r"));
        assertSame(client, states.all().get(0).client());
        assertEquals(1, states.all().size());
    }

    @Test
    void aConnectionCanBeStruckInTheMiddleOfWhatBringsAStateAbout() throws IOException {
        asked("r");
        wire.sends(1);
        states.on(RequestState.CONNECTING, now -> now.upstream().fault(SimSocket.Fault.RESET));
        states.on(RequestState.ARRIVING, now -> now.client().fault(SimSocket.Fault.RESET));
        wire.connect(wire.side, wire.serverListens);
        wire.run();
        assertNull(wire.serverListens.accept());
        wire.asks("s");
        SimSocket[] other = wire.connected(wire.app, wire.sideListens);
        Wire.write(other[0], Wire.get("s"));
        wire.run();
        assertEquals(0, other[1].available());
    }

    @Test
    void aNewProcessCountsFromTheStart() throws IOException {
        asked("r");
        wire.sends(1);
        states.sidecarStarted(Wire.SIDE, 2);
        wire.entered.clear();
        wire.connect(wire.side, wire.serverListens);
        wire.fails(1, 0);
        entered();
    }
}
