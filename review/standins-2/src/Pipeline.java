import java.util.*;
import java.util.concurrent.atomic.*;

/** A client sends many requests at once on one connection; each has to get its answer. */
final class Pipeline {
    private static final int REQUESTS = Integer.getInteger("requests", 20);

    public static void main(String[] args) throws Exception {
        Rig.main(Pipeline::run);
    }

    static boolean run(Rig rig) throws Exception {
        List<Rig.Target> targets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Upstream upstream = new Upstream(rig, "u" + i, 30, (at, request) -> rig.log("upstream " + at.uid + " gets " + request.header("x-request-id")));
            targets.add(new Rig.Target("u" + i, upstream.port(), "ebene", "Ready", 0));
        }
        Discovery discovery = new Discovery(rig, targets);
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar("n0", port, Rig.config("n0", port, discovery.port(), discovery.known(), 10_000, 100));
        int lost = 0;
        for (int round = 0; round < 5; round++) {
            List<String> ids = new ArrayList<>();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++) {
                ids.add(Http.id());
                all.append(Http.request(ids.get(i), "stock-check", "0.400", null, 0));
            }
            Map<String, Integer> answers = new LinkedHashMap<>();
            try (Http.Connection connection = Http.connect(port, 1000)) {
                if (Rig.TROUBLE) {
                    rig.log("client sends at once " + ids);
                    connection.send(all.toString());
                    for (String id : ids) {
                        answers.put(id, connection.read(2000).status);
                    }
                } else {
                    for (String id : ids) {
                        rig.log("client sends " + id);
                        connection.send(Http.request(id, "stock-check", "0.400", null, 0));
                        answers.put(id, connection.read(2000).status);
                    }
                }
            } catch (java.io.IOException e) {
                rig.log("client: " + e);
            }
            for (String id : ids) {
                rig.log("client gets " + answers.getOrDefault(id, 0) + " for " + id + (answers.containsKey(id) ? "" : " LOST"));
            }
            int unanswered = REQUESTS - answers.size();
            lost += unanswered;
            rig.note("round " + round + ": " + REQUESTS + " sent, " + answers.size() + " answered " + answers.values());
            Rig.sleep(500);
        }
        rig.quote(sidecar, "client_connection.closed");
        Rig.check(sidecar.process().isAlive(), "the sidecar has ended");
        rig.note(lost + " requests got no answer");
        return lost == 0;
    }
}
