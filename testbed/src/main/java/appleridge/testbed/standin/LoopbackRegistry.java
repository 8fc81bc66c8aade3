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
 * Discovery: the list of servers, whole or as a watch on changes, and times at which it is away.
 * Lives on its event loop; only the constructor and {@link #listen()} are called from elsewhere.
 */
public final class LoopbackRegistry {
    /** What discovery knows of a server. */
    public enum State {
        /** Wants requests. */
        READY,
        /** Finishes what it has, wants nothing new. */
        TERMINATING,
        /** Is no more. */
        GONE;

        /** As the list says it. */
        String word() {
            return name().charAt(0) + name().substring(1).toLowerCase(Locale.ROOT);
        }
    }

    /** One line of the list; {@code bootMillis} in Unix time, 0 for long ago. */
    public record Entry(String uid, String endpoint, String zone, State state, long bootMillis) {}

    private record Known(Entry entry, long revision) {}

    private record Watch(Channel channel, long since) {}

    /** The one kind of machine that the list knows. */
    public static final String MODEL = "std-3c";

    private static final long OLD_CLOSES_MILLIS = 1500;

    private final EventLoop loop;
    private final RealTime time;
    private final StandInListener witness;
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, Known> list = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private Listener listener;
    private boolean away;
    private long revision;

    public LoopbackRegistry(EventLoop loop, RealTime time, StandInListener witness) {
        this.loop = loop;
        this.time = time;
        this.witness = witness;
    }

    /** Starts on any free port; blocks, so never to be called on the loop. */
    public void listen() throws InterruptedException {
        listener = new Listener(loop, this::install);
        listener.listen();
    }

    /** Where it listens. */
    public String endpoint() {
        return "127.0.0.1:" + listener.port();
    }

    /** Takes a change in and tells those that watch. */
    public void set(Entry entry) {
        revision++;
        list.put(entry.uid(), new Known(entry, revision));
        witness.changed(entry.uid(), entry.state(), time.nanos());
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> answer(watch.channel(), watch.since()));
    }

    /** Whether anyone waits for a change. */
    public boolean watched() {
        return !watches.isEmpty();
    }

    /** Goes down or comes back: while it is down, calls end with a reset and nothing is told. */
    public void away(boolean isAway) {
        away = isAway;
        if (away) {
            listener.resetAll();
        }
    }

    /** Moves to another address; the old one takes nothing new and soon closes what is open. */
    public void move(Runnable moved) {
        Listener old = listener;
        Listener other = new Listener(loop, this::install);
        other.listen(
                0,
                () -> {
                    listener = other;
                    old.close();
                    loop.schedule(old::resetAll, OLD_CLOSES_MILLIS, TimeUnit.MILLISECONDS);
                    moved.run();
                });
    }

    /** Ends. */
    public void close() {
        listener.close();
        listener.resetAll();
    }

    /** The whole list in its own form. */
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
                .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1024), new Calls());
    }

    private void call(Channel channel, String uri) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        if (!query.path().equals("/registry/instances")) {
            channel.writeAndFlush(Replies.bytes("404 Not Found", ""));
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

    /** What is newer than a version; the whole list if there is none. */
    private void answer(Channel channel, long since) {
        List<Entry> told =
                list.values().stream()
                        .filter(known -> known.revision() > since)
                        .map(Known::entry)
                        .toList();
        ObjectNode body = since < 0 ? whole() : body(told, false);
        channel.writeAndFlush(
                        Replies.bytes("200 OK", body.toString(), "Content-Type: application/json"))
                .addListener(
                        done -> {
                            if (done.isSuccess()) {
                                told.forEach(
                                        entry ->
                                                witness.told(
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
                    .put("state", entry.state().word())
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", entry.bootMillis());
        }
        return body;
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (away) {
                Replies.reset(ctx.channel());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (!away) {
                call(ctx.channel(), request.uri());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.removeIf(watch -> watch.channel() == ctx.channel());
        }
    }
}
