package appleridge.testbed.lease;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The protected resource: commands continually send it datagrams with their token and identity. It
 * records them with its own clock and rejects nothing. Datagrams within one machine arrive in the
 * order in which they were sent.
 */
final class OperationWitness implements AutoCloseable {
    /** The last operation under one token and the first under the next, as timed by the witness. */
    record HolderChange(long token, long lastOperation, long firstOperation) {
        /** The time without an operation, in nanoseconds. */
        long gapNanos() {
            return firstOperation - lastOperation;
        }
    }

    private static final int MAX_DATAGRAM_BYTES = 64;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    private final DatagramSocket socket;
    private final Thread reader = new Thread(this::read, "witness");
    private final List<HolderChange> changes = new ArrayList<>();
    private final List<String> findings = new ArrayList<>();
    private long token;
    private long pid;
    private int holder = -1;
    private long lastOperationAt;
    private long operations;

    OperationWitness() throws SocketException {
        socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        reader.setDaemon(true);
        reader.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    private void read() {
        DatagramPacket packet =
                new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
        while (true) {
            try {
                packet.setLength(MAX_DATAGRAM_BYTES);
                socket.receive(packet);
            } catch (IOException e) {
                return;
            }
            String[] words =
                    new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII)
                            .split(" ");
            onOperation(
                    Long.parseLong(words[0]),
                    Long.parseLong(words[1]),
                    words[2],
                    Integer.parseInt(words[3]),
                    System.nanoTime());
        }
    }

    private synchronized void onOperation(
            long operationToken, long operationPid, String lease, int operationHolder, long now) {
        operations++;
        if (operationToken > token) {
            if (token > 0) {
                changes.add(new HolderChange(operationToken, lastOperationAt, now));
                reportLeftoverProcesses(lease, operationToken);
            }
            token = operationToken;
            pid = operationPid;
            holder = operationHolder;
        } else if (operationToken < token) {
            findings.add("token " + operationToken + " operates after token " + token);
        } else if (operationPid != pid) {
            findings.add("two processes operate under token " + operationToken);
        }
        lastOperationAt = now;
        notifyAll();
    }

    /** Reports processes started under an older token, even if they no longer operate. */
    private void reportLeftoverProcesses(String lease, long newer) {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc"), "[0-9]*")) {
            for (Path each : all) {
                long processToken = tokenOf(each, lease);
                if (processToken > 0 && processToken < newer) {
                    findings.add(
                            "process "
                                    + each.getFileName()
                                    + " of token "
                                    + processToken
                                    + " still exists after token "
                                    + newer
                                    + " began to operate");
                }
            }
        } catch (IOException e) {
            findings.add("can't list processes: " + e);
        }
    }

    /** Returns the token under which a process was started, 0 if there is none for this lease. */
    private static long tokenOf(Path process, String lease) {
        try {
            String environment =
                    new String(
                            Files.readAllBytes(process.resolve("environ")),
                            StandardCharsets.ISO_8859_1);
            int at = ("\0" + environment).indexOf("\0APPLERIDGE_TOKEN=");
            if (at < 0 || !("\0" + environment).contains("\0APPLERIDGE_LEASE=" + lease + "\0")) {
                return 0;
            }
            int from = at + "APPLERIDGE_TOKEN=".length();
            return Long.parseLong(environment.substring(from, environment.indexOf('\0', from)));
        } catch (IOException e) {
            return 0;
        }
    }

    /** Whether any process exists that a command of this lease has started. */
    static boolean existsProcessOf(String lease) throws IOException {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc"), "[0-9]*")) {
            for (Path each : all) {
                if (tokenOf(each, lease) > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    synchronized long token() {
        return token;
    }

    /** The number of the process whose command has the newest token; -1 if there is none. */
    synchronized int holder() {
        return holder;
    }

    /** The id of the process that operates under the newest token. */
    synchronized long pid() {
        return pid;
    }

    synchronized long operations() {
        return operations;
    }

    synchronized List<HolderChange> changes() {
        return List.copyOf(changes);
    }

    synchronized List<String> findings() {
        return List.copyOf(findings);
    }

    /** Waits for an operation under a newer token; returns whether there was one in time. */
    synchronized boolean awaitAbove(long old, long millis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (token <= old) {
            long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (remaining <= 0) {
                return false;
            }
            wait(remaining);
        }
        return true;
    }

    /**
     * Waits until there were more than this many operations; returns whether there were in time.
     */
    synchronized boolean awaitOperation(long after, long millis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (operations <= after) {
            long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (remaining <= 0) {
                return false;
            }
            wait(remaining);
        }
        return true;
    }

    @Override
    public void close() {
        socket.close();
    }
}
