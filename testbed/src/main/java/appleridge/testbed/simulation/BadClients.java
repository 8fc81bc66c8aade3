package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import java.util.List;

/** The hosts of misbehaving clients; starts these clients when a fault asks for them. */
final class BadClients {
    private static final int MIN_CROWD = 30;
    private static final int CROWD_RANGE = 90;
    private static final int RECONNECTS = 20;
    private static final int DESCRIPTORS = 1000;
    private static final int SMALL_BUFFER = 512;
    private static final long ARRIVAL_SPREAD = 50 * Site.MS;
    private static final long OPEN_REQUEST_POLL_INTERVAL = 5 * Site.MS;
    private static final int MAX_OPEN_REQUEST_POLLS = 100;

    private final Day day;
    private final List<Application> applications;
    private final Host host;

    /** Host of the clients that never read; the buffers towards it are small. */
    private final Host neverReadingHost;

    private final SeededRandom chance;
    private final BadRequests requests;
    private int clientCount;

    BadClients(Day day, List<Application> applications) {
        this.day = day;
        this.applications = applications;
        this.host = day.network.host("bad", Site.address(2, 9, 1), DESCRIPTORS);
        this.neverReadingHost = day.network.host("mute", Site.address(2, 9, 2), DESCRIPTORS);
        this.chance = day.faults("bad");
        this.requests = new BadRequests(chance, day.plan.maxBodyBytes());
    }

    List<Host> hosts() {
        return List.of(host, neverReadingHost);
    }

    /**
     * Limits the buffers from a sidecar to the clients that never read. Call it after all links
     * have been set up, because that overwrites the buffer sizes.
     */
    void limitBuffers(ProcessSlot slot) {
        NetworkConditions toNeverReading = day.network.conditions(slot.host(), neverReadingHost);
        toNeverReading.receiveBuffer = SMALL_BUFFER;
        toNeverReading.sendBuffer = SMALL_BUFFER;
    }

    /**
     * Connects clients of a kind to a sidecar at random times within a short interval.
     *
     * @param count how many; a {@link BadClientKind#CROWD} draws its own number
     */
    void connect(BadClientKind kind, ProcessSlot slot, long count) {
        long total = kind == BadClientKind.CROWD ? MIN_CROWD + chance.nextInt(CROWD_RANGE) : count;
        for (long i = 0; i < total; i++) {
            day.after(
                    chance.nextLong(ARRIVAL_SPREAD),
                    () -> {
                        if (kind == BadClientKind.SAME_ID) {
                            reuseOpenId(slot, MAX_OPEN_REQUEST_POLLS);
                        } else {
                            connectOne(kind, slot, kind == BadClientKind.AGAIN ? RECONNECTS : 0);
                        }
                    });
        }
    }

    private void connectOne(BadClientKind kind, ProcessSlot slot, int reconnects) {
        String name = Site.BAD_CLIENT_ID_PREFIX + FaultKind.word(kind) + '-' + ++clientCount;
        if (kind == BadClientKind.HIDDEN) {
            day.evidence.badClientHidRequest(name, BadRequests.hiddenId(name));
        }
        if (kind.mustNotReachServer()) {
            day.evidence.badClientHidRequest(name, name);
        }
        Runnable next = reconnects > 0 ? () -> connectOne(kind, slot, reconnects - 1) : () -> {};
        Host from = kind == BadClientKind.NEVER_READS ? neverReadingHost : host;
        new BadClient(day, from, slot, kind, name, requests.script(kind, name), next).connect();
    }

    /** Polls for an open request of another client and sends a request with the same id. */
    private void reuseOpenId(ProcessSlot slot, int pollsLeft) {
        for (Application each : applications) {
            String id = each.openId(slot);
            if (id != null) {
                String name = Site.BAD_CLIENT_ID_PREFIX + "same-" + ++clientCount;
                day.sentRequests.markReused(id);
                day.evidence.badClientReusedId(name, Site.BAD_CLIENT_ID_PREFIX + id, id);
                Script script = requests.reusingId(id, day.sentRequests.find(id).method());
                new BadClient(day, host, slot, BadClientKind.SAME_ID, name, script, () -> {})
                        .connect();
                return;
            }
        }
        if (pollsLeft > 0) {
            day.after(OPEN_REQUEST_POLL_INTERVAL, () -> reuseOpenId(slot, pollsLeft - 1));
        }
    }
}
