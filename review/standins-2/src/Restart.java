import java.util.*;
import java.util.concurrent.atomic.*;

/** A sidecar is killed and started again while discovery is down, so that its agent is silent. */
final class Restart {
    public static void main(String[] args) throws Exception {
        Rig.main(Restart::run);
    }

    static boolean run(Rig rig) throws Exception {
        AtomicLong countedFrom = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger breaks = new AtomicInteger();
        String[] names = {"u0", "u1", "u2"};
        List<Rig.Target> targets = new ArrayList<>();
        for (String name : names) {
            Upstream upstream = new Upstream(rig, name, 10, (at, request) -> {
                long late = System.nanoTime() - countedFrom.get();
                boolean isBreak = at.uid.equals("u0") && late > 0;
                rig.log("upstream " + at.uid + " gets " + request.header("x-request-id") + (isBreak ? " BREAK, too late by " + late / 1_000_000 + " ms" : ""));
                if (isBreak) {
                    breaks.incrementAndGet();
                }
            });
            targets.add(new Rig.Target(name, upstream.port(), "ebene", "Ready", 0));
        }
        Discovery agent = new Discovery(rig, targets);
        int port = Rig.freePort();
        String config = Rig.config("n0", port, agent.port(), agent.known(), 10_000, 100)
                .replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replace("\"stopSendingWithin\":2000000000", "\"stopSendingWithin\":700000000")
                .replace("\"mayCancel\":true", "\"mayCancel\":false")
                .replace("\"tryLimit\":6", "\"tryLimit\":4")
                .replace("\"retryAfter\":false", "\"retryAfter\":true");
        Rig.Sidecar first = rig.startSidecar("n0", port, config);
        AtomicBoolean ending = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < 2; i++) {
            Rig.daemon("client", () -> client(rig, port, ending, answered));
        }
        Rig.sleep(3000);
        Rig.check(answered.get() > 20, "the clients were not served");
        rig.note("the sidecar is killed; as it last had the list, all are Ready");
        first.signal("KILL");
        first.process().waitFor();
        Rig.sleep(200);
        agent.set(targets.get(0).with("Terminating"));
        Rig.sleep(200);
        long silentFrom = System.nanoTime();
        if (Rig.TROUBLE) {
            agent.setSilent(true);
        }
        Rig.sleep(200);
        long started = System.nanoTime();
        // What the agent has counts as told from the first moment of a new process; 0.7 s of grace; 50 ms; 0.15 s for a
        // sidecar that was held up.
        countedFrom.set(started + 900_000_000L);
        Rig.Sidecar second = rig.startSidecar("n0", port, config);
        Rig.sleep(Math.max(0, 8000 - (System.nanoTime() - silentFrom) / 1_000_000));
        if (Rig.TROUBLE) {
            agent.setSilent(false);
        }
        Rig.sleep(2000);
        ending.set(true);
        Rig.sleep(600);
        rig.quote(second, "discovery", "deferred");
        Rig.check(second.process().isAlive(), "the sidecar has ended");
        rig.note(breaks.get() + " requests reached u0 later than 0.9 s after the new process began");
        return breaks.get() == 0;
    }

    private static void client(Rig rig, int port, AtomicBoolean ending, AtomicInteger answered) {
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
