import java.util.*;
import java.util.concurrent.atomic.*;

/** Discovery is down for some time, and an upstream begins to drain as it returns. */
final class Backoff {
    private static final long ASK_WITHIN_MILLIS = Long.getLong("askWithin", 30_000);

    public static void main(String[] args) throws Exception {
        Rig.main(Backoff::run);
    }

    static boolean run(Rig rig) throws Exception {
        AtomicLong countedFrom = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger breaks = new AtomicInteger();
        String[] names = {"u0", "u1", "u2"};
        Upstream[] upstreams = new Upstream[names.length];
        List<Rig.Target> targets = new ArrayList<>();
        for (int i = 0; i < names.length; i++) {
            upstreams[i] = new Upstream(rig, names[i], 10, (at, request) -> {
                long late = System.nanoTime() - countedFrom.get();
                boolean isBreak = at.uid.equals("u0") && late > 0;
                rig.log("upstream " + at.uid + " gets " + request.header("x-request-id") + (isBreak ? " BREAK, too late by " + late / 1_000_000 + " ms" : ""));
                if (isBreak) {
                    breaks.incrementAndGet();
                }
            });
            targets.add(new Rig.Target(names[i], upstreams[i].port(), "ebene", "Ready", 0));
        }
        Discovery discovery = new Discovery(rig, targets);
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar("n0", port, Rig.config("n0", port, discovery.port(), discovery.known(), ASK_WITHIN_MILLIS, 100));
        AtomicBoolean ending = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < 2; i++) {
            Rig.daemon("client", () -> client(rig, port, ending, answered));
        }
        Rig.sleep(2000);
        Rig.check(answered.get() > 20, "the clients were not served before the outage");
        if (Rig.TROUBLE) {
            discovery.setDown(true);
            long from = System.nanoTime();
            while (System.nanoTime() - from < 20_000_000_000L) {
                Rig.sleep(1);
            }
            int calls = discovery.refusedCalls();
            while (discovery.refusedCalls() == calls) {
                Rig.sleep(1);
                Rig.check(System.nanoTime() - from < 60_000_000_000L, "no call in 40 s");
            }
            rig.note("the outage lasted " + (System.nanoTime() - from) / 1_000_000 + " ms, " + discovery.refusedCalls() + " calls were refused");
            discovery.setDown(false);
        } else {
            Rig.sleep(20_000);
        }
        discovery.set(targets.get(0).with("Terminating"));
        // Told at the latest 6 s after discovery had it and could be reached; 2 s of grace; each time limit 50 ms longer;
        // 0.15 s for a sidecar that was held up.
        countedFrom.set(System.nanoTime() + 8_200_000_000L);
        Rig.sleep(16_500);
        ending.set(true);
        Rig.sleep(600);
        rig.quote(sidecar, "discovery ");
        Rig.check(sidecar.process().isAlive(), "the sidecar has ended");
        rig.note(breaks.get() + " requests reached u0 later than 8.2 s after discovery was back and had its drain; answered " + answered.get());
        return breaks.get() == 0;
    }

    static void client(Rig rig, int port, AtomicBoolean ending, AtomicInteger answered) {
        while (!ending.get()) {
            try (Http.Connection connection = Http.connect(port, 1000)) {
                while (!ending.get()) {
                    String id = Http.id();
                    rig.log("client sends " + id);
                    connection.send(Http.request(id, "stock-check", "0.400", null, 0));
                    Http.Message answer = connection.read(2000);
                    rig.log("client gets " + answer.status + " for " + id);
                    if (answer.status == 200) {
                        answered.incrementAndGet();
                    }
                    Rig.sleep(40);
                }
            } catch (java.io.IOException e) {
                rig.log("client: " + e);
                Rig.sleep(20);
            }
        }
    }
}
