package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.Simulation;
import java.net.InetSocketAddress;
import java.util.List;

/** The place of one sidecar: its processes come and go under one name and address. */
final class ProcessSlot {
    /** SIGKILL comes no sooner after SIGTERM than this and the longest deadline. */
    private static final long GRACE = 700 * Site.MS;

    /** For how long clients go on opening connections after SIGTERM. */
    private static final long STILL_OPEN_LEAST = 200 * Site.MS;

    private static final long STILL_OPEN_MOST = 400 * Site.MS;

    /** Whoever isn't ready for so long after discovery has moved will not be by itself. */
    private static final long NEVER_READY = 2 * Site.SECOND;

    /** SIGHUP never comes sooner after a process has become ready. */
    private static final long FIRST_SECOND = Site.SECOND;

    private final Day day;
    private final ProcessSlots seats;
    private final String name;
    private final int rank;
    private final Host host;
    private final InetSocketAddress address;
    private final SidecarHost process;
    private final DeliveredEndpointUpdates told;
    private final Instances instances;
    private final SeededRandom chance;
    private Registry discovery;
    private int life = -1;
    private boolean running;
    private boolean leaving;
    private boolean ready;
    private long readyAt;
    private boolean hupDue;
    private long restartAfter;
    private Simulation.Event killing;
    private Readiness readiness;
    private int connections;

    ProcessSlot(
            Day day,
            ProcessSlots seats,
            String name,
            int rank,
            Host host,
            SidecarHost process,
            DeliveredEndpointUpdates told,
            Instances instances) {
        this.day = day;
        this.seats = seats;
        this.name = name;
        this.rank = rank;
        this.host = host;
        this.address = new InetSocketAddress(host.address(), Site.SIDECAR_PORT);
        this.process = process;
        this.told = told;
        this.instances = instances;
        this.chance = day.work("sidecar." + name);
    }

    String name() {
        return name;
    }

    int zone() {
        return rank % Site.ZONES.size();
    }

    Host host() {
        return host;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isRunning() {
        return running;
    }

    /** Whether it has been told to end, and clients still open connections to it. */
    boolean isLeaving() {
        return leaving && ready;
    }

    /**
     * Whether anyone may ask whether it is ready: nobody comes any more some time after SIGTERM.
     */
    boolean isAsked() {
        return running && (ready || !leaving);
    }

    /** Whether clients take it for ready, and open connections to it. */
    boolean isUsable() {
        return ready;
    }

    void readiness(Readiness how) {
        readiness = how;
    }

    // ---- its life

    void start(Registry discoveryAt) {
        discovery = discoveryAt;
        start();
    }

    private void start() {
        life++;
        running = true;
        leaving = false;
        hupDue = false;
        int mine = life;
        // The list that it is given at its start is as old as the plan says, or there is none.
        boolean given = day.plan.size(ScenarioParameter.KNOWN) > 0;
        long version = instances.revisionAt(day.now() - day.plan.size(ScenarioParameter.KNOWN_AGE));
        List<Instances.Entry> known = given ? instances.snapshotAt(version) : List.of();
        day.evidence.sidecarStarted(name, life);
        told.restart(name, known);
        SidecarHost.Costs costs =
                new SidecarHost.Costs(
                        day.plan.size(ScenarioParameter.TASK_COST),
                        day.plan.size(ScenarioParameter.READ_COST),
                        day.plan.size(ScenarioParameter.CLOCK_COST));
        host.maxDescriptors(day.plan.count(ScenarioParameter.SOCKETS));
        String list =
                !given ? "null" : Instances.json(version + discovery.versionsFrom(), true, known);
        process.start(
                new SidecarHost.Process(
                        name,
                        life,
                        config(list),
                        host,
                        day.loops(name + "." + life),
                        costs,
                        status -> exited(mine, status)));
        readiness.begin();
    }

    private String config(String known) {
        return Settings.json(
                day.plan, name, rank, address, discovery.address(), chance.nextLong(), known);
    }

    /** It is killed at once, and starts again after so long. */
    void kill(long down) {
        if (running && !leaving) {
            killNow();
            again(down);
        }
    }

    private void killNow() {
        if (killing != null) {
            killing.cancel();
            killing = null;
        }
        running = false;
        ready = false;
        day.evidence.sidecarKilled(name, life);
        process.kill();
        host.die();
    }

    /** It is asked to end, killed if it does not, and starts again. */
    void term(long down) {
        if (!running || leaving) {
            return;
        }
        leaving = true;
        day.evidence.sidecarSigterm(name, life);
        readiness.begin();
        process.term();
        int mine = life;
        day.after(
                chance.between(STILL_OPEN_LEAST, STILL_OPEN_MOST),
                () -> {
                    if (life == mine) {
                        ready = false;
                    }
                });
        long wait =
                day.plan.size(ScenarioParameter.LONGEST_DEADLINE)
                        + GRACE
                        + chance.nextLong(500 * Site.MS);
        killing =
                day.after(
                        wait,
                        () -> {
                            killing = null;
                            killNow();
                            again(down);
                        });
        restartAfter = down;
    }

    private void exited(int ended, int status) {
        if (!running || ended != life) {
            return;
        }
        running = false;
        ready = false;
        day.evidence.sidecarExited(name, life, status);
        host.die();
        if (killing != null) {
            killing.cancel();
            killing = null;
        }
        again(leaving ? restartAfter : 0);
    }

    private void again(long down) {
        readiness.stop();
        day.after(day.bounded(down) + day.plan.size(ScenarioParameter.START), this::start);
    }

    /** Discovery has moved; it is told as soon as it may be. */
    void hup(Registry discoveryAt) {
        discovery = discoveryAt;
        if (!running || leaving) {
            return;
        }
        if (!ready || day.now() - readyAt < FIRST_SECOND) {
            hupDue = true;
            if (ready) {
                hupLater();
            } else {
                orAnew();
            }
            return;
        }
        hupNow();
    }

    /**
     * One that waits for a list from where discovery is no more would never be ready: it is started
     * anew.
     */
    private void orAnew() {
        int mine = life;
        day.after(
                NEVER_READY,
                () -> {
                    if (hupDue && !ready && life == mine && running && !leaving) {
                        kill(0);
                    }
                });
    }

    private void hupLater() {
        int mine = life;
        day.after(
                readyAt + FIRST_SECOND - day.now(),
                () -> {
                    if (hupDue && life == mine && running && !leaving) {
                        hupNow();
                    }
                });
    }

    private void hupNow() {
        hupDue = false;
        day.evidence.sidecarSighup(name, life);
        process.hup(config("null"));
    }

    void pause(long duration) {
        if (running) {
            day.evidence.sidecarPaused(name, day.now(), day.now() + duration);
            process.pause(duration);
        }
    }

    void stepWall(long by) {
        if (running) {
            process.stepWall(by);
        }
    }

    // ---- what its clients make of it

    /** So many more of the usual clients' connections are open to it; or fewer. */
    void connections(int more) {
        connections += more;
    }

    /** Clients hold a third of its descriptors at most. */
    boolean isFull() {
        return connections >= day.plan.count(ScenarioParameter.SOCKETS) / 3;
    }

    /** A client could not connect. */
    void unreachable() {
        if (ready) {
            ready = false;
            readiness.begin();
        }
    }

    /** Its readiness was answered with 200. */
    void becameReady() {
        if (!running || leaving || ready) {
            return;
        }
        ready = true;
        readyAt = day.now();
        day.evidence.sidecarReady(name, life);
        if (hupDue) {
            hupLater();
        }
        seats.becameReady();
    }
}
