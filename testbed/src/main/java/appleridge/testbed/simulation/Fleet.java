package appleridge.testbed.simulation;

import appleridge.loadbalancing.DeduplicationScope;
import java.util.ArrayList;
import java.util.List;

/**
 * All machines with order servers, the deduplication state that the servers share, and the
 * instances that discovery knows.
 */
final class Fleet {
    private final List<Machine> machines = new ArrayList<>();
    private final Instances instances;
    private final Deduplicator[][] repeats =
            new Deduplicator[RequestClasses.ALL.size()][Site.ZONES.size()];

    Fleet(Plan plan, Instances instances) {
        this.instances = instances;
        for (int i = 0; i < repeats.length; i++) {
            RequestClasses.Definition kind = RequestClasses.of(i);
            if (kind.keyed()) {
                boolean acrossZones = kind.scope() == DeduplicationScope.ALL;
                Deduplicator shared = new Deduplicator(plan.window(kind));
                for (int zone = 0; zone < repeats[i].length; zone++) {
                    repeats[i][zone] = acrossZones ? shared : new Deduplicator(plan.window(kind));
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

    /** Returns the machine with this name; null if there is none. */
    Machine machine(String name) {
        for (Machine each : machines) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        return null;
    }

    /** Returns the machine on which the server with this uid runs or ran; null if there is none. */
    Machine ofServer(String uid) {
        int dot = uid.indexOf('.');
        return dot < 0 ? null : machine(uid.substring(0, dot));
    }

    /**
     * Returns the deduplication state of a request class in a zone; null if the class is not
     * idempotent by key.
     */
    Deduplicator repeats(int requestClass, int zone) {
        return repeats[requestClass][zone];
    }
}
