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
 * What is acted on: commands write their token and who they are to it, all the time. It keeps its
 * own record, by its own clock, and refuses nothing. Datagrams of a machine come in the order of
 * their sending.
 */
final class OperationWitness implements AutoCloseable {
    /** From the last act under one token to the first under the next. */
    record Change(long token, long lastAct, long firstAct) {
        /** How long nobody acted, in nanoseconds. */
        long without() {
            return firstAct - lastAct;
        }
    }

    private static final int LONGEST = 64;
    private static final int BUFFER = 1 << 20;

    private final DatagramSocket socket;
    private final Thread reader = new Thread(this::read, "witness");
    private final List<Change> changes = new ArrayList<>();
    private final List<String> findings = new ArrayList<>();
    private long token;
    private long pid;
    private int holder = -1;
    private long last;
    private long acts;

    OperationWitness() throws SocketException {
        socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setReceiveBufferSize(BUFFER);
        reader.setDaemon(true);
        reader.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    private void read() {
        DatagramPacket packet = new DatagramPacket(new byte[LONGEST], LONGEST);
        while (true) {
            try {
                packet.setLength(LONGEST);
                socket.receive(packet);
            } catch (IOException e) {
                return;
            }
            String[] words =
                    new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII)
                            .split(" ");
            heard(
                    Long.parseLong(words[0]),
                    Long.parseLong(words[1]),
                    words[2],
                    Integer.parseInt(words[3]),
                    System.nanoTime());
        }
    }

    private synchronized void heard(long itsToken, long itsPid, String lease, int its, long now) {
        acts++;
        if (itsToken > token) {
            if (token > 0) {
                changes.add(new Change(itsToken, last, now));
                left(lease, itsToken);
            }
            token = itsToken;
            pid = itsPid;
            holder = its;
        } else if (itsToken < token) {
            findings.add("token " + itsToken + " acts after " + token);
        } else if (itsPid != pid) {
            findings.add("two processes act under token " + itsToken);
        }
        last = now;
        notifyAll();
    }

    /** What has begun under an older token must be gone, also where it does not act any more. */
    private void left(String lease, long newer) {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(Path.of("/proc"), "[0-9]*")) {
            for (Path each : all) {
                long its = tokenOf(each, lease);
                if (its > 0 && its < newer) {
                    findings.add(
                            "process "
                                    + each.getFileName()
                                    + " of token "
                                    + its
                                    + " is there after token "
                                    + newer
                                    + " has begun");
                }
            }
        } catch (IOException e) {
            findings.add("can't look at processes: " + e);
        }
    }

    /** 0 for none. */
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

    /** Whether a process that a command of this lease has started is there. */
    static boolean anyOf(String lease) throws IOException {
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

    /** The number that the last command was given; -1 if none has acted. */
    synchronized int holder() {
        return holder;
    }

    /** The process that acted last. */
    synchronized long pid() {
        return pid;
    }

    synchronized long acts() {
        return acts;
    }

    synchronized List<Change> changes() {
        return List.copyOf(changes);
    }

    synchronized List<String> findings() {
        return List.copyOf(findings);
    }

    /** Waits until a token above this one acts; whether it does in time. */
    synchronized boolean awaitAbove(long old, long millis) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (token <= old) {
            long left = TimeUnit.NANOSECONDS.toMillis(by - System.nanoTime());
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }

    /** Waits until there was an act after so many; whether there was in time. */
    synchronized boolean awaitAct(long after, long millis) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (acts <= after) {
            long left = TimeUnit.NANOSECONDS.toMillis(by - System.nanoTime());
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }

    @Override
    public void close() {
        socket.close();
    }
}
