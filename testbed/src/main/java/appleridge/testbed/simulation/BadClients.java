package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SeededRandom;
import java.util.List;

/** The machines from which bad clients come, and how they come. */
final class BadClients {
    private static final int CROWD_LEAST = 30;
    private static final int CROWD_MORE = 90;
    private static final int AGAIN = 20;
    private static final int DESCRIPTORS = 1000;
    private static final int SMALL_BUFFER = 512;
    private static final long SPREAD = 50 * Site.MS;
    private static final long LOOK_AGAIN = 5 * Site.MS;
    private static final int LOOKS = 100;

    private final Day day;
    private final List<Application> applications;
    private final Host host;

    /** From here come those that never read: little fits on the way to them. */
    private final Host mute;

    private final SeededRandom chance;
    private final BadRequests requests;
    private int clients;

    BadClients(Day day, List<Application> applications) {
        this.day = day;
        this.applications = applications;
        this.host = day.network.host("bad", Site.address(2, 9, 1), DESCRIPTORS);
        this.mute = day.network.host("mute", Site.address(2, 9, 2), DESCRIPTORS);
        this.chance = day.faults("bad");
        this.requests = new BadRequests(chance);
    }

    List<Host> hosts() {
        return List.of(host, mute);
    }

    /** To be called when the links of all others are made. */
    void narrow(ProcessSlot seat) {
        NetworkConditions back = day.network.conditions(seat.host(), mute);
        back.receiveBuffer = SMALL_BUFFER;
        back.sendBuffer = SMALL_BUFFER;
    }

    /** So many of a kind come within moments. */
    void come(BadKind kind, ProcessSlot seat, long count) {
        long all = kind == BadKind.CROWD ? CROWD_LEAST + chance.nextInt(CROWD_MORE) : count;
        for (long i = 0; i < all; i++) {
            day.after(
                    chance.nextLong(SPREAD),
                    () -> {
                        if (kind == BadKind.SAME_ID) {
                            same(seat, LOOKS);
                        } else {
                            one(kind, seat, kind == BadKind.AGAIN ? AGAIN : 0);
                        }
                    });
        }
    }

    private void one(BadKind kind, ProcessSlot seat, int again) {
        String name = Site.BAD_ID + FaultKind.word(kind) + '-' + ++clients;
        if (kind == BadKind.HIDDEN) {
            day.evidence.badClientHidRequest(name, BadRequests.hiddenId(name));
        }
        if (kind.isSenseless()) {
            day.evidence.badClientHidRequest(name, name);
        }
        Runnable next = again > 0 ? () -> one(kind, seat, again - 1) : () -> {};
        Host from = kind == BadKind.NEVER_READS ? mute : host;
        new BadClient(day, from, seat, kind, name, requests.script(kind, name), next).connect();
    }

    /** Waits a little for a request that is open, and asks under its id. */
    private void same(ProcessSlot seat, int looks) {
        for (Application each : applications) {
            String id = each.openId(seat);
            if (id != null) {
                String name = Site.BAD_ID + "same-" + ++clients;
                day.asked.borrow(id);
                day.evidence.badClientReusedId(name, Site.BAD_ID + id, id);
                Script script = requests.same(id, day.asked.form(id).method());
                new BadClient(day, host, seat, BadKind.SAME_ID, name, script, () -> {}).connect();
                return;
            }
        }
        if (looks > 0) {
            day.after(LOOK_AGAIN, () -> same(seat, looks - 1));
        }
    }
}
