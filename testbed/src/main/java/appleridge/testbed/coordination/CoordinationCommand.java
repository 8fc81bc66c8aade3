package appleridge.testbed.coordination;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/**
 * The command {@code coordination}: runs the stand-in ensemble as a process and executes commands
 * that it reads from standard input.
 */
public final class CoordinationCommand {
    private static final String USAGE =
            """
            usage: java -jar testbed.jar coordination --listen HOST:PORT [--listen HOST:PORT ...]
                    [--tick 50] [--least 200] [--most 60000]
              one member of one ensemble for each --listen; tick and session time-outs \
              in milliseconds.
              Commands on standard input, one per line, each answered by ok or no; N is a \
              member, from 1:
                stop N.. | start N.. | wipe N.. | restore CHANGE N.. | cut N.. | heal | \
                hang N.. | unhang N..
                lag MILLIS N.. (-1: apply nothing) | read-only N.. | break before|after KIND N
                expire SESSION | sessions | sessions-last | sessions-end | changes\
            """;

    private final PrintStream out;
    private final PrintStream err;
    private CoordinationServers servers;

    public CoordinationCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs until the process is killed; returns an exit status only if it cannot start. */
    public int run(InputStream in, String... args) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        CoordinationServer.Times times = CoordinationServer.Times.QUICK;
        try {
            for (Iterator<String> words = List.of(args).iterator(); words.hasNext(); ) {
                String word = words.next();
                String value = words.hasNext() ? words.next() : "";
                times =
                        switch (word) {
                            case "--listen" -> {
                                addresses.add(address(value));
                                yield times;
                            }
                            case "--tick" ->
                                    new CoordinationServer.Times(
                                            Integer.parseInt(value),
                                            times.minSessionMillis(),
                                            times.maxSessionMillis());
                            case "--least" ->
                                    new CoordinationServer.Times(
                                            times.tickMillis(),
                                            Integer.parseInt(value),
                                            times.maxSessionMillis());
                            case "--most" ->
                                    new CoordinationServer.Times(
                                            times.tickMillis(),
                                            times.minSessionMillis(),
                                            Integer.parseInt(value));
                            default ->
                                    throw new IllegalArgumentException("unknown option: " + word);
                        };
            }
            if (addresses.isEmpty()) {
                throw new IllegalArgumentException("--listen is required");
            }
            servers = new CoordinationServers(times, null, addresses);
            servers.members()
                    .forEach(
                            each ->
                                    out.println(
                                            "listening "
                                                    + each.address().getAddress().getHostAddress()
                                                    + ":"
                                                    + each.address().getPort()));
            execute(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)));
            new CountDownLatch(1).await();
            return 0;
        } catch (IllegalArgumentException e) {
            err.println("coordination: " + e.getMessage());
            err.println(USAGE);
            return 2;
        } catch (IOException e) {
            err.println("coordination: " + e);
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    /** Parses HOST:PORT; port 0 selects any free port. */
    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not HOST:PORT: " + text);
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void execute(BufferedReader lines) throws IOException, InterruptedException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            try {
                String result = execute(List.of(line.trim().split(" +")));
                out.println(result.isEmpty() ? "ok" : "ok " + result);
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                out.println("no: " + e.getMessage());
            }
        }
    }

    private String execute(List<String> words) throws IOException, InterruptedException {
        switch (words.get(0)) {
            case "stop" -> each(words, 1, CoordinationServer::stop);
            case "start" -> {
                for (CoordinationServer server : named(words, 1)) {
                    server.start();
                }
            }
            case "wipe" -> each(words, 1, CoordinationServer::wipe);
            case "restore" ->
                    each(words, 2, server -> server.restore(Long.parseLong(words.get(1))));
            case "cut" -> servers.cut(named(words, 1).toArray(CoordinationServer[]::new));
            case "heal" -> servers.cut();
            case "hang" -> each(words, 1, server -> server.hung(true));
            case "unhang" -> each(words, 1, server -> server.hung(false));
            case "lag" -> each(words, 2, server -> server.lag(Long.parseLong(words.get(1))));
            case "read-only" -> each(words, 1, server -> server.readOnly(true));
            case "break" -> {
                if (!List.of("before", "after").contains(words.get(1))) {
                    throw new IllegalArgumentException(
                            "expected before or after, not " + words.get(1));
                }
                each(
                        words,
                        3,
                        server ->
                                server.breakNext(
                                        Integer.parseInt(words.get(2)),
                                        words.get(1).equals("after")));
            }
            case "expire" -> {
                if (!servers.expire(Long.decode(words.get(1)))) {
                    throw new IllegalArgumentException("no such session");
                }
            }
            case "sessions" -> {
                return String.join(
                        " ",
                        servers.sessions().stream()
                                .map(each -> "0x" + Long.toHexString(each))
                                .toList());
            }
            case "sessions-last" -> servers.suspendExpiry(true);
            case "sessions-end" -> servers.suspendExpiry(false);
            case "changes" -> {
                return String.join(
                        " ",
                        servers.members().stream()
                                .map(each -> Long.toString(each.lastChange()))
                                .toList());
            }
            default -> throw new IllegalArgumentException("unknown command: " + words.get(0));
        }
        return "";
    }

    private List<CoordinationServer> named(List<String> words, int from) {
        return words.subList(from, words.size()).stream()
                .map(each -> servers.members().get(Integer.parseInt(each) - 1))
                .toList();
    }

    private void each(List<String> words, int from, Consumer<CoordinationServer> what) {
        named(words, from).forEach(what);
    }
}
