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
    private SimSocket sidecarToClient;

    @BeforeEach
    void connect() throws IOException {
        fixture = new NetworkFixture();
        states = fixture.states;
        SimSocket[] ends = fixture.connected(fixture.app, fixture.sidecarListener);
        client = ends[0];
        sidecarToClient = ends[1];
    }

    private void writeRequest(String id) throws IOException {
        fixture.startRequest(id);
        NetworkFixture.write(client, NetworkFixture.get(id));
        states.requestSent(id);
    }

    private void assertEntered(String... all) {
        assertEquals(List.of(all), fixture.enteredStates);
        fixture.enteredStates.clear();
    }

    @Test
    void recordsWhenAConnectionIsAccepted() throws IOException {
        assertEquals(AttemptRecord.NEVER, states.acceptedAt("r"));
        long accepted = fixture.simulation.now();
        fixture.run();
        writeRequest("r");
        assertEquals(accepted, states.acceptedAt("r"));
        fixture.startRequest("s");
        assertEquals(AttemptRecord.NEVER, states.acceptedAt("s"));
    }

    @Test
    void followsARequestThroughAllItsStates() throws IOException {
        fixture.startRequest("r");
        assertEquals(RequestState.ARRIVING, states.state("r"));
        NetworkFixture.write(client, "GET /api HTTP/1.1\r\nx-REQUEST-id:r\r");
        assertEntered();
        NetworkFixture.write(client, "\nHost: origin.svc\r\n\r");
        assertEntered("ARRIVING r");
        assertSame(client, states.all().get(0).client());
        NetworkFixture.write(client, "\n");
        states.requestSent("r");
        assertEntered("HELD r");
        fixture.startAttempt(1);
        assertEntered();
        SimSocket upstream = fixture.connect(fixture.sidecar, fixture.serverListener);
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
        SimSocket server = fixture.serverListener.accept();
        NetworkFixture.write(server, "H");
        NetworkFixture.write(server, NetworkFixture.answer("good").substring(1));
        assertEntered("ANSWERING r");
        NetworkFixture.write(sidecarToClient, NetworkFixture.answer("good"));
        assertEntered("ANSWERED r");
        fixture.run();
        NetworkFixture.read(client);
        states.answered("r", 200, "good", -1, 0);
        assertEntered("IDLE r");
        assertEquals(1, states.at(NetworkFixture.SIDECAR).size());
        writeRequest("s");
        assertEntered("ARRIVING s", "HELD s");
        assertNull(states.state("r"));
    }

    @Test
    void keptAliveConnectionSkipsConnecting() throws IOException {
        SimSocket upstream = fixture.connected(fixture.sidecar, fixture.serverListener)[0];
        writeRequest("r");
        fixture.enteredStates.clear();
        fixture.startAttempt(1);
        NetworkFixture.write(upstream, NetworkFixture.get("r"));
        assertEntered("WRITING r", "WRITTEN r");
        assertSame(upstream, states.at("a-1").get(0).upstream());
        states.answered("r", 200, "", -1, 0);
        fixture.enteredStates.clear();
        writeRequest("s");
        fixture.enteredStates.clear();
        fixture.startAttempt(2);
        NetworkFixture.write(upstream, NetworkFixture.get("s"));
        assertEntered("WRITING s", "WRITTEN s");
    }

    @Test
    void distinguishesLaterAttemptsFromTheFirst() throws IOException {
        writeRequest("r");
        fixture.startAttempt(1);
        SimSocket[] first = fixture.connected(fixture.sidecar, fixture.serverListener);
        NetworkFixture.write(first[0], NetworkFixture.get("r"));
        fixture.enteredStates.clear();
        fixture.failAttempt(1, 0);
        assertEntered("RESEND_HELD r");
        assertNull(states.all().get(0).upstream());
        fixture.startAttempt(1);
        SimSocket[] second = fixture.connected(fixture.sidecar, fixture.serverListener);
        assertEntered("RESEND_CONNECTING r");
        NetworkFixture.write(second[0], "GET ");
        assertEntered("RESEND_WRITING r");
        NetworkFixture.write(second[0], NetworkFixture.get("r").substring(4));
        assertEntered("RESEND_WRITTEN r");
        NetworkFixture.write(first[1], NetworkFixture.answer("late"));
        assertEntered();
        NetworkFixture.write(second[1], NetworkFixture.answer("good"));
        assertEntered("RESEND_ANSWERING r");
        fixture.failAttempt(1, 0);
        assertEntered();
        NetworkFixture.write(sidecarToClient, NetworkFixture.answer("good"));
        assertEntered("ANSWERED r");
        fixture.failAttempt(1, 1);
        assertEntered();
    }

    @Test
    void bodyBelongsToTheRequestInPiecesOfAnySize() throws IOException {
        String post =
                "POST /api HTTP/1.1\r\nX-Request-Id: r\r\nContent-Length: 10\r\n\r\n0123456789";
        fixture.startRequest("r");
        for (int i = 0; i < post.length(); i++) {
            NetworkFixture.write(client, post.substring(i, i + 1));
        }
        assertEntered("ARRIVING r");
        states.requestSent("r");
        fixture.startAttempt(1);
        SimSocket upstream = fixture.connected(fixture.sidecar, fixture.serverListener)[0];
        fixture.enteredStates.clear();
        NetworkFixture.write(upstream, post.substring(0, post.length() - 1));
        assertEntered("WRITING r");
        NetworkFixture.write(upstream, "9");
        assertEntered("WRITTEN r");
    }

    @Test
    void chunkedBodyEndsWithTheEmptyChunk() throws IOException {
        fixture.startRequest("r");
        NetworkFixture.write(
                client,
                "POST /api HTTP/1.1\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n");
        NetworkFixture.write(client, "3\r\n0\r\n\r\n0\r\n\r");
        assertFalse(states.wasRead("r"));
        fixture.run();
        NetworkFixture.read(sidecarToClient);
        assertFalse(states.wasRead("r"));
        NetworkFixture.write(client, "\n");
        fixture.run();
        NetworkFixture.read(sidecarToClient);
        assertTrue(states.wasRead("r"));
    }

    @Test
    void recordsPositionRequestAheadAndWhetherItWasRead() throws IOException {
        writeRequest("r");
        NetworkFixture.write(client, NetworkFixture.get("s").substring(0, 50));
        fixture.startRequest("s");
        NetworkFixture.write(client, NetworkFixture.get("s").substring(50));
        states.requestSent("s");
        assertEquals(1, states.positionOnConnection("r"));
        assertEquals(2, states.positionOnConnection("s"));
        assertNull(states.idAhead("r"));
        assertEquals("r", states.idAhead("s"));
        fixture.run();
        sidecarToClient.read(new byte[1000], 0, NetworkFixture.get("r").length() + 60);
        assertTrue(states.wasRead("r"));
        assertFalse(states.wasRead("s"));
        NetworkFixture.read(sidecarToClient);
        assertTrue(states.wasRead("s"));
        assertEquals(0, states.positionOnConnection("unknown"));
    }

    @Test
    void answersAreAssignedInRequestOrder() throws IOException {
        writeRequest("r");
        writeRequest("s");
        fixture.enteredStates.clear();
        NetworkFixture.write(
                sidecarToClient,
                NetworkFixture.answer("one") + NetworkFixture.answer("two").substring(0, 3));
        assertEntered("ANSWERED r", "ANSWERED s");
        states.answered("r", 200, "one", -1, 0);
        assertEntered();
        assertNull(states.state("r"));
        states.answered("s", 200, "two", -1, 0);
        assertEntered("IDLE s");
    }

    @Test
    void interimResponseIsNotAnAnswer() throws IOException {
        writeRequest("r");
        fixture.enteredStates.clear();
        NetworkFixture.write(sidecarToClient, "HTTP/1.1 100 Continue\r\n\r\n");
        assertEntered();
        NetworkFixture.write(sidecarToClient, NetworkFixture.answer("good"));
        assertEntered("ANSWERED r");
    }

    @Test
    void recordsWhenAClientCloses() throws IOException {
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
    void closedConnectionIsNoLongerIdle() throws IOException {
        writeRequest("r");
        states.answered("r", 200, "", -1, 0);
        assertEquals(RequestState.IDLE, states.state("r"));
        client.close();
        assertNull(states.state("r"));
    }

    @Test
    void idReusedByAnotherClientKeepsTheFirstConnection() throws IOException {
        writeRequest("r");
        SimSocket bad = fixture.connected(fixture.app, fixture.sidecarListener)[0];
        NetworkFixture.write(bad, NetworkFixture.get("r"));
        assertSame(client, states.all().get(0).client());
        assertEquals(1, states.all().size());
    }

    @Test
    void listenerMayFaultTheConnectionWithinTheEvent() throws IOException {
        writeRequest("r");
        fixture.startAttempt(1);
        states.onEnter(RequestState.CONNECTING, now -> now.upstream().fault(SimSocket.Fault.RESET));
        states.onEnter(RequestState.ARRIVING, now -> now.client().fault(SimSocket.Fault.RESET));
        fixture.connect(fixture.sidecar, fixture.serverListener);
        fixture.run();
        assertNull(fixture.serverListener.accept());
        fixture.startRequest("s");
        SimSocket[] other = fixture.connected(fixture.app, fixture.sidecarListener);
        NetworkFixture.write(other[0], NetworkFixture.get("s"));
        fixture.run();
        assertEquals(0, other[1].available());
    }

    @Test
    void newProcessForgetsPendingAttempts() throws IOException {
        writeRequest("r");
        fixture.startAttempt(1);
        states.sidecarStarted(NetworkFixture.SIDECAR, 2);
        fixture.enteredStates.clear();
        fixture.connect(fixture.sidecar, fixture.serverListener);
        fixture.failAttempt(1, 0);
        assertEntered();
    }
}
