package appleridge.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Clients that ask one request after the other, each on a connection that it keeps, as the protocol
 * has it: a request whose connection ends without a byte of an answer is sent once more, on a new
 * one.
 */
final class ClosedLoopClients implements AutoCloseable {
    /** Status of a request that got no answer though it was sent a second time. */
    static final int NO_ANSWER = 0;

    /** Status of a request whose client found nobody to connect to; the sidecar never had it. */
    static final int NOT_TAKEN = -1;

    /** Status of a request that is still waiting. */
    static final int WAITING = -2;

    /** One request and what became of it; times are of the monotonic clock. */
    static final class Asked {
        final String id;
        final long sentAt;
        private int status = WAITING;
        private long endedAt;
        private String error = "";

        private Asked(String id, long sentAt) {
            this.id = id;
            this.sentAt = sentAt;
        }

        synchronized int status() {
            return status;
        }

        /** From its sending to its end. */
        synchronized long tookMillis() {
            return TimeUnit.NANOSECONDS.toMillis(
                    (status == WAITING ? System.nanoTime() : endedAt) - sentAt);
        }

        private synchronized void ended(int how, String why) {
            status = how;
            endedAt = System.nanoTime();
            error = why;
        }

        @Override
        public synchronized String toString() {
            return id + " status " + status + " after " + tookMillis() + " ms " + error;
        }
    }

    private final InetSocketAddress address;
    private final IntFunction<String> requests;
    private final long pauseMillis;
    private final List<Asked> asked = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ends;

    /**
     * Begins to ask.
     *
     * @param requests the next request of a client, by the client's number
     * @param pauseMillis between an answer and the next request
     */
    ClosedLoopClients(
            InetSocketAddress address,
            int clients,
            long pauseMillis,
            IntFunction<String> requests) {
        this.address = address;
        this.requests = requests;
        this.pauseMillis = pauseMillis;
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number), "client-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(int number) {
        TestClient client = null;
        try {
            while (!ends) {
                String request = requests.apply(number);
                Asked next =
                        new Asked(StubUpstream.header(request, "x-request-id"), System.nanoTime());
                synchronized (asked) {
                    asked.add(next);
                }
                client = ask(client, request, next);
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(client);
        }
    }

    /** Asks and notes what became of it; the connection for the next request, or null. */
    private TestClient ask(TestClient kept, String request, Asked next) {
        TestClient client = kept;
        String error = "";
        for (int tries = 0; tries < 2; tries++) {
            try {
                client = client == null ? new TestClient(address) : client;
            } catch (IOException e) {
                next.ended(NOT_TAKEN, e.toString());
                return null;
            }
            try {
                String answer = client.exchange(request);
                if (answer != null) {
                    next.ended(TestClient.status(answer), "");
                    return answer.toLowerCase().contains("connection: close")
                            ? close(client)
                            : client;
                }
                error = "connection ended";
            } catch (IOException e) {
                error = e.toString();
            }
            client = close(client);
        }
        next.ended(NO_ANSWER, error);
        return null;
    }

    private static TestClient close(TestClient client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // It is of no further use either way.
        }
        return null;
    }

    /** All requests so far. */
    List<Asked> asked() {
        synchronized (asked) {
            return List.copyOf(asked);
        }
    }

    /** How many of the requests from the given number on were answered so. */
    long count(int from, int status) {
        List<Asked> all = asked();
        return all.subList(Math.min(from, all.size()), all.size()).stream()
                .filter(each -> each.status() == status)
                .count();
    }

    /** No more requests; each that is out is awaited. */
    List<Asked> end() throws InterruptedException {
        ends = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        }
        return asked();
    }

    @Override
    public void close() {
        ends = true;
        threads.forEach(Thread::interrupt);
    }
}
