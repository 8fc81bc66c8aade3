package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import java.util.ArrayList;
import java.util.List;

/**
 * All machines with order servers, what they remember together, and what discovery knows of them.
 */
final class Fleet {
    private final List<Machine> machines = new ArrayList<>();
    private final Instances instances;
    private final Repeats[][] repeats = new Repeats[RequestClasses.ALL.size()][Site.ZONES.size()];

    Fleet(Plan plan, Instances instances) {
        this.instances = instances;
        for (int i = 0; i < repeats.length; i++) {
            RequestClasses.Definition kind = RequestClasses.of(i);
            if (kind.keyed()) {
                boolean all = kind.scope() == DeduplicationScope.ALL;
                Repeats shared = new Repeats(plan.window(kind));
                for (int zone = 0; zone < repeats[i].length; zone++) {
                    repeats[i][zone] = all ? shared : new Repeats(plan.window(kind));
                }
            }
        }
    }

    Instances instances() {
        return instances;
    }

    List<Machine> machines() {
        return machines;
    }

    /** Null if there is none of that name. */
    Machine machine(String name) {
        for (Machine each : machines) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        return null;
    }

    /** On which a server of that id runs, or ran; null if there is none. */
    Machine ofServer(String uid) {
        int dot = uid.indexOf('.');
        return dot < 0 ? null : machine(uid.substring(0, dot));
    }

    /** What the servers of a site remember of a class; null for one without keys. */
    Repeats repeats(int requestClass, int zone) {
        return repeats[requestClass][zone];
    }
}
