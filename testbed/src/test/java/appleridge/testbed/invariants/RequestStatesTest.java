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
    private NetworkFixture fixture;
    private RequestStates states;
    private SimSocket client;
    private SimSocket sideToClient;

    @BeforeEach
    void connect() throws IOException {
        fixture = new NetworkFixture();
        states = fixture.states;
        SimSocket[] ends = fixture.connected(fixture.app, fixture.sideListens);
        client = ends[0];
        sideToClient = ends[1];
    }

    private void writeRequest(String id) throws IOException {
        fixture.asks(id);
        NetworkFixture.write(client, NetworkFixture.get(id));
        states.requestSent(id);
    }

    private void assertEntered(String... all) {
        assertEquals(List.of(all), fixture.enteredStates);
        fixture.enteredStates.clear();
    }

    @Test
    void knowsWhenItsConnectionWasAccepted() throws IOException {
        assertEquals(AttemptRecord.NEVER, states.acceptedAt("r"));
        long accepted = fixture.simulation.now();
        fixture.run();
        writeRequest("r");
        assertEquals(accepted, states.acceptedAt("r"));
        fixture.asks("s");
        assertEquals(AttemptRecord.NEVER, states.acceptedAt("s"));
    }

    @Test
    void followsARequestThroughAllItsStates() throws IOException {
        fixture.asks("r");
        assertEquals(RequestState.ARRIVING, states.state("r"));
        NetworkFixture.write(client, "GET /api HTTP/1.1\r\nx-REQUEST-id:r\r");
        assertEntered();
        NetworkFixture.write(client, "\nHost: origin.svc\r\n\r");
        assertEntered("ARRIVING r");
        assertSame(client, states.all().get(0).client());
        NetworkFixture.write(client, "\n");
        states.requestSent("r");
        assertEntered("HELD r");
        fixture.sends(1);
        assertEntered();
        SimSocket upstream = fixture.connect(fixture.side, fixture.serverListens);
        assertEntered("CONNECTING r");
        ObservedRequest connecting = states.all().get(0);
        assertSame(upstream, connecting.upstream());
        assertEquals("a-1", connecting.server());
        fixture.run();
        NetworkFixture.write(upstream, "G");
        assertEntered("WRITING r");
        NetworkFixture.write(upstream, NetworkFixture.get("r").substring(1));
        assertEntered("WRITTEN r");
        fixture.run();
        SimSocket server = fixture.serverListens.accept();
        NetworkFixture.write(server, "H");
        NetworkFixture.write(server, NetworkFixture.answer("good").substring(1));
        assertEntered("ANSWERING r");
        NetworkFixture.write(sideToClient, NetworkFixture.answer("good"));
        assertEntered("ANSWERED r");
        fixture.run();
        NetworkFixture.read(client);
        states.answered("r", 200, "good", -1, 0);
        assertEntered("IDLE r");
        assertEquals(1, states.at(NetworkFixture.SIDE).size());
        writeRequest("s");
        assertEntered("ARRIVING s", "HELD s");
        assertNull(states.state("r"));
    }

    @Test
    void aKeptConnectionIsWrittenToAtOnce() throws IOException {
        SimSocket upstream = fixture.connected(fixture.side, fixture.serverListens)[0];
        writeRequest("r");
        fixture.enteredStates.clear();
        fixture.sends(1);
        NetworkFixture.write(upstream, NetworkFixture.get("r"));
        assertEntered("WRITING r", "WRITTEN r");
        assertSame(upstream, states.at("a-1").get(0).upstream());
        states.answered("r", 200, "", -1, 0);
        fixture.enteredStates.clear();
        writeRequest("s");
        fixture.enteredStates.clear();
        fixture.sends(2);
        NetworkFixture.write(upstream, NetworkFixture.get("s"));
        assertEntered("WRITING s", "WRITTEN s");
    }

    @Test
    void knowsALaterAttemptFromTheFirst() throws IOException {
        writeRequest("r");
        fixture.sends(1);
        SimSocket[] first = fixture.connected(fixture.side, fixture.serverListens);
        NetworkFixture.write(first[0], NetworkFixture.get("r"));
        fixture.enteredStates.clear();
        fixture.fails(1, 0);
        assertEntered("RESEND_HELD r");
        assertNull(states.all().get(0).upstream());
        fixture.sends(1);
        SimSocket[] second = fixture.connected(fixture.side, fixture.serverListens);
        assertEntered("RESEND_CONNECTING r");
        NetworkFixture.write(second[0], "GET ");
        assertEntered("RESEND_WRITING r");
        NetworkFixture.write(second[0], NetworkFixture.get("r").substring(4));
        assertEntered("RESEND_WRITTEN r");
        NetworkFixture.write(first[1], NetworkFixture.answer("late"));
        assertEntered();
        NetworkFixture.write(second[1], NetworkFixture.answer("good"));
        assertEntered("RESEND_ANSWERING r");
        fixture.fails(1, 0);
        assertEntered();
        NetworkFixture.write(sideToClient, NetworkFixture.answer("good"));
        assertEntered("ANSWERED r");
        fixture.fails(1, 1);
        assertEntered();
    }

    @Test
    void aBodyIsPartOfTheRequestInWhateverPiecesItComes() throws IOException {
        String post =
                "POST /api HTTP/1.1\r\nX-Request-Id: r\r\nContent-Length: 10\r\n\r\n0123456789";
        fixture.asks("r");
        for (int i = 0; i < post.length(); i++) {
            NetworkFixture.write(client, post.substring(i, i + 1));
        }
        assertEntered("ARRIVING r");
        states.requestSent("r");
        fixture.sends(1);
        SimSocket upstream = fixture.connected(fixture.side, fixture.serverListens)[0];
        fixture.enteredStates.clear();
        NetworkFixture.write(upstream, post.substring(0, post.length() - 1));
        assertEntered("WRITING r");
        NetworkFixture.write(upstream, "9");
        assertEntered("WRITTEN r");
    }

    @Test
    void chunksEndWithAnEmptyOne() throws IOException {
        fixture.asks("r");
        NetworkFixture.write(
                client,
                "POST /api HTTP/1.1\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n");
        NetworkFixture.write(client, "3\r\n0\r\n\r\n0\r\n\r");
        assertFalse(states.wasRead("r"));
        fixture.run();
        NetworkFixture.read(sideToClient);
        assertFalse(states.wasRead("r"));
        NetworkFixture.write(client, "\n");
        fixture.run();
        NetworkFixture.read(sideToClient);
        assertTrue(states.wasRead("r"));
    }

    @Test
    void knowsPlaceAndWhatIsAheadAndWhatWasRead() throws IOException {
        writeRequest("r");
        NetworkFixture.write(client, NetworkFixture.get("s").substring(0, 50));
        fixture.asks("s");
        NetworkFixture.write(client, NetworkFixture.get("s").substring(50));
        states.requestSent("s");
        assertEquals(1, states.positionOnConnection("r"));
        assertEquals(2, states.positionOnConnection("s"));
        assertNull(states.idAhead("r"));
        assertEquals("r", states.idAhead("s"));
        fixture.run();
        sideToClient.read(new byte[1000], 0, NetworkFixture.get("r").length() + 60);
        assertTrue(states.wasRead("r"));
        assertFalse(states.wasRead("s"));
        NetworkFixture.read(sideToClient);
        assertTrue(states.wasRead("s"));
        assertEquals(0, states.positionOnConnection("unknown"));
    }

    @Test
    void answersGoOutInTheOrderOfTheRequests() throws IOException {
        writeRequest("r");
        writeRequest("s");
        fixture.enteredStates.clear();
        NetworkFixture.write(
                sideToClient,
                NetworkFixture.answer("one") + NetworkFixture.answer("two").substring(0, 3));
        assertEntered("ANSWERED r", "ANSWERED s");
        states.answered("r", 200, "one", -1, 0);
        assertEntered();
        assertNull(states.state("r"));
        states.answered("s", 200, "two", -1, 0);
        assertEntered("IDLE s");
    }

    @Test
    void anInterimAnswerIsNone() throws IOException {
        writeRequest("r");
        fixture.enteredStates.clear();
        NetworkFixture.write(sideToClient, "HTTP/1.1 100 Continue\r\n\r\n");
        assertEntered();
        NetworkFixture.write(sideToClient, NetworkFixture.answer("good"));
        assertEntered("ANSWERED r");
    }

    @Test
    void knowsWhenAClientHasClosed() throws IOException {
        writeRequest("r");
        assertEquals(-1, states.closedAt("r"));
        states.clientGaveUp("r");
        client.close();
        long closed = fixture.simulation.now();
        fixture.run();
        assertEquals(closed, states.closedAt("r"));
        assertNull(states.state("r"));
    }

    @Test
    void aKeptConnectionThatIsClosedIsIdleNoMore() throws IOException {
        writeRequest("r");
        states.answered("r", 200, "", -1, 0);
        assertEquals(RequestState.IDLE, states.state("r"));
        client.close();
        assertNull(states.state("r"));
    }

    @Test
    void anIdUsedByAnotherClientIsNotItsRequest() throws IOException {
        writeRequest("r");
        SimSocket bad = fixture.connected(fixture.app, fixture.sideListens)[0];
        NetworkFixture.write(bad, NetworkFixture.get("r"));
        assertSame(client, states.all().get(0).client());
        assertEquals(1, states.all().size());
    }

    @Test
    void aConnectionCanBeStruckInTheMiddleOfWhatBringsAStateAbout() throws IOException {
        writeRequest("r");
        fixture.sends(1);
        states.onEnter(RequestState.CONNECTING, now -> now.upstream().fault(SimSocket.Fault.RESET));
        states.onEnter(RequestState.ARRIVING, now -> now.client().fault(SimSocket.Fault.RESET));
        fixture.connect(fixture.side, fixture.serverListens);
        fixture.run();
        assertNull(fixture.serverListens.accept());
        fixture.asks("s");
        SimSocket[] other = fixture.connected(fixture.app, fixture.sideListens);
        NetworkFixture.write(other[0], NetworkFixture.get("s"));
        fixture.run();
        assertEquals(0, other[1].available());
    }

    @Test
    void aNewProcessCountsFromTheStart() throws IOException {
        writeRequest("r");
        fixture.sends(1);
        states.sidecarStarted(NetworkFixture.SIDE, 2);
        fixture.enteredStates.clear();
        fixture.connect(fixture.side, fixture.serverListens);
        fixture.fails(1, 0);
        assertEntered();
    }
}
