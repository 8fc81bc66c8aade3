package appleridge.testbed.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for service discovery: serves the list of servers, whole or by long poll for changes,
 * and can be made unavailable. Use only on its event loop, except for the constructor and {@link
 * #listen()}.
 */
public final class LoopbackRegistry {
    /** The state of a server in the list. */
    public enum State {
        /** Accepts requests. */
        READY,
        /** Finishes open requests and accepts no new ones. */
        TERMINATING,
        /** Has ended. */
        GONE;

        /** The value in the JSON list. */
        String wireName() {
            return name().charAt(0) + name().substring(1).toLowerCase(Locale.ROOT);
        }
    }

    /** A server in the list; {@code bootMillis} in Unix time, 0 if it started long ago. */
    public record Entry(String uid, String endpoint, String zone, State state, long bootMillis) {}

    private record Known(Entry entry, long revision) {}

    private record Watch(Channel channel, long since) {}

    /** The machine model of all servers. */
    public static final String MODEL = "std-3c";

    private static final long MOVE_GRACE_MILLIS = 1500;

    private final EventLoop loop;
    private final RealTime time;
    private final StandInListener events;
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, Known> list = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private Listener listener;
    private boolean away;
    private long revision;

    public LoopbackRegistry(EventLoop loop, RealTime time, StandInListener events) {
        this.loop = loop;
        this.time = time;
        this.events = events;
    }

    /** Listens on any free port. Blocks: must not be called on the event loop. */
    public void listen() throws InterruptedException {
        listener = new Listener(loop, this::install);
        listener.listen();
    }

    /** The address it listens on, as host:port. */
    public String endpoint() {
        return "127.0.0.1:" + listener.port();
    }

    /** Adds or changes a server and answers the open watches. */
    public void set(Entry entry) {
        revision++;
        list.put(entry.uid(), new Known(entry, revision));
        events.changed(entry.uid(), entry.state(), time.nanos());
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> answer(watch.channel(), watch.since()));
    }

    /** Whether a client waits for a change. */
    public boolean watched() {
        return !watches.isEmpty();
    }

    /**
     * Makes the registry unavailable or available; while unavailable, it resets all connections.
     */
    public void away(boolean isAway) {
        away = isAway;
        if (away) {
            listener.resetAll();
        }
    }

    /**
     * Moves to another port. The old listener accepts nothing new, and its connections are reset
     * after a short time.
     */
    public void move(Runnable moved) {
        Listener old = listener;
        Listener other = new Listener(loop, this::install);
        other.listen(
                0,
                () -> {
                    listener = other;
                    old.close();
                    loop.schedule(old::resetAll, MOVE_GRACE_MILLIS, TimeUnit.MILLISECONDS);
                    moved.run();
                });
    }

    /** Closes the listener and resets all connections. */
    public void close() {
        listener.close();
        listener.resetAll();
    }

    /** The whole list as JSON. */
    public ObjectNode whole() {
        return body(
                list.values().stream()
                        .map(Known::entry)
                        .filter(e -> e.state() != State.GONE)
                        .toList(),
                true);
    }

    private void install(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(1024),
                        new RequestHandler());
    }

    private void handle(Channel channel, String uri) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        if (!query.path().equals("/registry/instances")) {
            channel.writeAndFlush(HttpResponses.bytes("404 Not Found", ""));
            return;
        }
        long since = number(query, "since", -1);
        if (since < revision) {
            answer(channel, since);
            return;
        }
        Watch watch = new Watch(channel, since);
        watches.add(watch);
        loop.schedule(
                () -> {
                    if (watches.remove(watch)) {
                        answer(channel, since);
                    }
                },
                Math.min(60_000, number(query, "timeout_ms", 0)),
                TimeUnit.MILLISECONDS);
    }

    private static long number(QueryStringDecoder query, String name, long absent) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() ? absent : Long.parseLong(values.get(0));
    }

    /** Responds with the changes after revision `since`; with the whole list if it is negative. */
    private void answer(Channel channel, long since) {
        List<Entry> sent =
                list.values().stream()
                        .filter(known -> known.revision() > since)
                        .map(Known::entry)
                        .toList();
        ObjectNode body = since < 0 ? whole() : body(sent, false);
        channel.writeAndFlush(
                        HttpResponses.bytes(
                                "200 OK", body.toString(), "Content-Type: application/json"))
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                sent.forEach(
                                        entry ->
                                                events.told(
                                                        entry.uid(), entry.state(), time.nanos()));
                            }
                        });
    }

    private ObjectNode body(List<Entry> entries, boolean all) {
        ObjectNode body = json.createObjectNode();
        body.put("rev", revision);
        body.put("all", all);
        ArrayNode targets = body.putArray("targets");
        for (Entry entry : entries) {
            targets.addObject()
                    .put("uid", entry.uid())
                    .put("endpoint", entry.endpoint())
                    .put("az", entry.zone())
                    .put("model", MODEL)
                    .put("pod_group", 0)
                    .put("state", entry.state().wireName())
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", entry.bootMillis());
        }
        return body;
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (away) {
                HttpResponses.reset(ctx.channel());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (!away) {
                handle(ctx.channel(), request.uri());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.removeIf(watch -> watch.channel() == ctx.channel());
        }
    }
}
