package appleridge.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Closed-loop clients: each sends its next request when the previous one is answered, on a
 * kept-alive connection. As HTTP allows, a request whose connection ends without a byte of an
 * answer is sent once more, on a new connection.
 */
final class ClosedLoopClients implements AutoCloseable {
    /** Status of a request that got no answer, although it was sent a second time. */
    static final int NO_ANSWER = 0;

    /**
     * Status of a request whose client could not connect, so that the sidecar never received it.
     */
    static final int NOT_CONNECTED = -1;

    /** Status of a request that has no answer yet. */
    static final int WAITING = -2;

    /** A request and its result. Times are of the monotonic clock, in nanoseconds. Thread-safe. */
    static final class SentRequest {
        final String id;
        final long sentAtNanos;
        private int status = WAITING;
        private long endedAtNanos;
        private String error = "";

        private SentRequest(String id, long sentAtNanos) {
            this.id = id;
            this.sentAtNanos = sentAtNanos;
        }

        synchronized int status() {
            return status;
        }

        /** Returns the time from sending the request to its answer, or until now. */
        synchronized long durationMillis() {
            return TimeUnit.NANOSECONDS.toMillis(
                    (status == WAITING ? System.nanoTime() : endedAtNanos) - sentAtNanos);
        }

        private synchronized void end(int endStatus, String endError) {
            status = endStatus;
            endedAtNanos = System.nanoTime();
            error = endError;
        }

        @Override
        public synchronized String toString() {
            return id + " status " + status + " after " + durationMillis() + " ms " + error;
        }
    }

    private final InetSocketAddress address;
    private final IntFunction<String> nextRequests;
    private final long pauseMillis;
    private final List<SentRequest> sent = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Starts the clients, each on a daemon thread.
     *
     * @param pauseMillis the pause between an answer and the next request
     * @param nextRequests returns the next request of a client, given the client's number from 0
     */
    ClosedLoopClients(
            InetSocketAddress address,
            int clients,
            long pauseMillis,
            IntFunction<String> nextRequests) {
        this.address = address;
        this.nextRequests = nextRequests;
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
            while (!stopped) {
                String request = nextRequests.apply(number);
                SentRequest next =
                        new SentRequest(
                                StubUpstream.header(request, "x-request-id"), System.nanoTime());
                synchronized (sent) {
                    sent.add(next);
                }
                client = send(client, request, next);
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(client);
        }
    }

    /** Sends a request and records its result; returns the connection to be reused, or null. */
    private TestClient send(TestClient kept, String request, SentRequest next) {
        TestClient client = kept;
        String error = "";
        for (int tries = 0; tries < 2; tries++) {
            try {
                client = client == null ? new TestClient(address) : client;
            } catch (IOException e) {
                next.end(NOT_CONNECTED, e.toString());
                return null;
            }
            try {
                String answer = client.exchange(request);
                if (answer != null) {
                    next.end(TestClient.status(answer), "");
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
        next.end(NO_ANSWER, error);
        return null;
    }

    private static TestClient close(TestClient client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // The connection is not used again either way.
        }
        return null;
    }

    /** Returns all requests so far, in the order in which they were sent. */
    List<SentRequest> sentRequests() {
        synchronized (sent) {
            return List.copyOf(sent);
        }
    }

    /** Returns how many requests have a status, beginning with the request at an index. */
    long count(int fromIndex, int status) {
        List<SentRequest> all = sentRequests();
        return all.subList(Math.min(fromIndex, all.size()), all.size()).stream()
                .filter(each -> each.status() == status)
                .count();
    }

    /** Sends no more requests, waits for the open ones and returns all. */
    List<SentRequest> finish() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        }
        return sentRequests();
    }

    @Override
    public void close() {
        stopped = true;
        threads.forEach(Thread::interrupt);
    }
}
