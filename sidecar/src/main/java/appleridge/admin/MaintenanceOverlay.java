package appleridge.admin;

import appleridge.discovery.EndpointTable.EndpointUpdate;
import appleridge.hotrestart.MaintenanceDirective;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Lays the operator's word over the list. An upstream that is called out drains for the decision
 * module, whatever the list says of it: gone, listed again, with another start or address. Called
 * back, it is what the list says, but for its start. All news of the list goes through here, and
 * what an operator says comes out as news of its own, so that the module decides as ever.
 *
 * <p>Times are nanoseconds on the clock on which upstreams' starts are placed.
 */
public final class MaintenanceOverlay {
    /**
     * Upstreams that may be out at once; each is a word of an operator, and ids may be long gone.
     */
    static final int MOST = 4096;

    private record Listed(UpstreamHost entry, InetSocketAddress address) {}

    /** For so long a word that calls back is told to other processes, in nanoseconds. */
    private static final long TOLD = TimeUnit.MINUTES.toNanos(1);

    private final long rampTime;

    /** What the list says, by id. */
    private final Map<String, Listed> listed = new HashMap<>();

    /** Who is out, and since when. */
    private final Map<String, Long> out = new LinkedHashMap<>();

    /** When who was called back, for as long as that can matter. */
    private final Map<String, Long> back = new HashMap<>();

    /** The last word of each who is out, or was until lately. */
    private final Map<String, MaintenanceDirective> said = new LinkedHashMap<>();

    /** With the nanoseconds for which an upstream that has started is cold. */
    public MaintenanceOverlay(long rampTime) {
        this.rampTime = rampTime;
    }

    /** What an operator's word comes to. */
    public sealed interface Effect permits Done, Denied {}

    /**
     * It holds from now on; the news are to be told before anything else is decided. Null for none.
     */
    public record Done(EndpointUpdate news) implements Effect {}

    /** Nothing has changed. */
    public record Denied(String why) implements Effect {}

    /** News of the list, as they are with the operator's word laid over them. */
    public EndpointUpdate over(EndpointUpdate news, long now) {
        forget(now);
        if (news.kind() == UpdateKind.SNAPSHOT || news.kind() == UpdateKind.CACHED_SNAPSHOT) {
            listed.clear();
        }
        List<UpstreamHost> entries = new ArrayList<>(news.entries().size());
        for (UpstreamHost entry : news.entries()) {
            String id = news.ids().get(entry.id());
            if (entry.state() == HostState.GONE) {
                listed.remove(id);
            } else {
                listed.put(id, new Listed(entry, news.addresses().get(entry.id())));
            }
            entries.add(over(id, entry));
        }
        return new EndpointUpdate(news.kind(), entries, news.addresses(), news.ids());
    }

    /**
     * Calls an upstream out: nothing new goes to it. Calls on one that is out already change
     * nothing.
     */
    public Effect suspend(String id, long now) {
        Listed its = listed.get(id);
        if (its == null && !out.containsKey(id)) {
            return new Denied("unknown upstream");
        }
        if (out.size() >= MOST && !out.containsKey(id)) {
            return new Denied("too many are out");
        }
        return new Done(suspended(id, now));
    }

    private EndpointUpdate suspended(String id, long at) {
        said.put(id, new MaintenanceDirective(id, true, at));
        return out.putIfAbsent(id, at) == null ? news(id) : null;
    }

    /** Calls an upstream back, however often it was called out. */
    public Effect restore(String id, long now) {
        forget(now);
        boolean held = out.containsKey(id) || listed.containsKey(id);
        return held ? new Done(restored(id, now)) : new Denied("unknown upstream");
    }

    private EndpointUpdate restored(String id, long now) {
        Long since = out.remove(id);
        if (since == null) {
            return null;
        }
        said.put(id, new MaintenanceDirective(id, false, now));
        Listed its = listed.get(id);
        // Danger: it may have been made anew meanwhile, and the list be late to tell. Only a start
        // within the
        // time in which it was out is certain to be the last one.
        if (its == null || its.entry.startedAtNanos() < since) {
            back.put(id, now);
        }
        return news(id);
    }

    /**
     * What operators have told another process of this sidecar; of two words the later one counts.
     *
     * @return the news that are to be told
     */
    public List<EndpointUpdate> hear(List<MaintenanceDirective> words, long now) {
        forget(now);
        List<EndpointUpdate> all = new ArrayList<>();
        for (MaintenanceDirective word : words) {
            MaintenanceDirective last = said.get(word.id());
            boolean fresh =
                    last == null
                            ? word.suspended()
                                    ? out.size() < MOST
                                    : now - word.issuedAtUnixNanos() <= TOLD
                            : word.issuedAtUnixNanos() > last.issuedAtUnixNanos();
            if (fresh) {
                EndpointUpdate news =
                        word.suspended()
                                ? suspended(word.id(), word.issuedAtUnixNanos())
                                : restored(word.id(), word.issuedAtUnixNanos());
                if (news != null) {
                    all.add(news);
                }
            }
        }
        return all;
    }

    /** What operators have said, for other processes of this sidecar. */
    public List<MaintenanceDirective> words() {
        return List.copyOf(said.values());
    }

    /**
     * Danger: words pile up as long as the sidecar runs; those that call back matter for a while
     * only.
     */
    private void forget(long now) {
        back.values().removeIf(at -> now - at > rampTime);
        said.values().removeIf(word -> !word.suspended() && now - word.issuedAtUnixNanos() > TOLD);
    }

    /** Who is out, and since when. */
    public Map<String, Long> out() {
        return Map.copyOf(out);
    }

    private EndpointUpdate news(String id) {
        Listed its = listed.get(id);
        if (its == null) {
            return null;
        }
        long number = its.entry.id();
        return new EndpointUpdate(
                UpdateKind.DELTA,
                List.of(over(id, its.entry)),
                Map.of(number, its.address),
                Map.of(number, id));
    }

    private UpstreamHost over(String id, UpstreamHost entry) {
        HostState state =
                entry.state() == HostState.READY && out.containsKey(id)
                        ? HostState.DRAINING
                        : entry.state();
        long started = Math.max(entry.startedAtNanos(), back.getOrDefault(id, 0L));
        return new UpstreamHost(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                state,
                entry.weight(),
                started);
    }
}
