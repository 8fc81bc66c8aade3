package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.Simulation;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The processes of one sidecar, one after the other, under one name and address. Starts, ends and
 * restarts them, and tracks whether clients consider the sidecar ready.
 */
final class ProcessSlot {

    /** SIGKILL follows SIGTERM after at least this and the longest deadline. */
    private static final long TERMINATION_GRACE_NANOS = 700 * Site.MS;

    /** Minimum time for which clients open connections after SIGTERM. */
    private static final long MIN_CONNECTS_AFTER_TERM_NANOS = 200 * Site.MS;

    /** Maximum of the same. */
    private static final long MAX_CONNECTS_AFTER_TERM_NANOS = 400 * Site.MS;

    /** A process that isn't ready this long after discovery has moved is restarted. */
    private static final long STUCK_NANOS = 2 * Site.SECOND;

    /** Minimum time from a process becoming ready to SIGHUP. */
    private static final long MIN_READY_BEFORE_HUP_NANOS = Site.SECOND;

    private final Day day;
    private final ProcessSlots slots;
    private final String name;
    private final int rank;
    private final Host host;
    private final InetSocketAddress address;
    private final SidecarHost process;
    private final DeliveredEndpointUpdates delivered;
    private final Instances instances;
    private final SeededRandom random;
    private Registry discovery;
    private int life = -1;
    private boolean running;
    private boolean terminating;
    private boolean ready;
    private long readyAt;
    private boolean hupPending;
    private long restartAfter;
    private Simulation.Event pendingKill;
    private ReadinessProbe probe;
    private int connections;

    ProcessSlot(
            Day day,
            ProcessSlots slots,
            String name,
            int rank,
            Host host,
            SidecarHost process,
            DeliveredEndpointUpdates delivered,
            Instances instances) {
        this.day = day;
        this.slots = slots;
        this.name = name;
        this.rank = rank;
        this.host = host;
        this.address = new InetSocketAddress(host.address(), Site.SIDECAR_PORT);
        this.process = process;
        this.delivered = delivered;
        this.instances = instances;
        this.random = day.work("sidecar." + name);
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

    /** Whether it has received SIGTERM and clients still open connections to it. */
    boolean isTerminating() {
        return terminating && ready;
    }

    /** Whether its readiness is probed: no longer once clients stop connecting after SIGTERM. */
    boolean isProbed() {
        return running && (ready || !terminating);
    }

    /** Whether clients consider it ready and open connections to it. */
    boolean isUsable() {
        return ready;
    }

    void setReadinessProbe(ReadinessProbe newProbe) {
        probe = newProbe;
    }

    // ---- lifecycle

    void start(Registry firstDiscovery) {
        discovery = firstDiscovery;
        start();
    }

    private void start() {
        life++;
        running = true;
        terminating = false;
        hupPending = false;
        int currentLife = life;

        // The plan sets the age of the endpoint list at the start, and whether there is one.
        boolean hasList = day.plan.size(ScenarioParameter.KNOWN) > 0;
        long version = instances.revisionAt(day.now() - day.plan.size(ScenarioParameter.KNOWN_AGE));
        List<Instances.Entry> known = hasList ? instances.snapshotAt(version) : List.of();
        day.evidence.sidecarStarted(name, life);
        delivered.restart(name, known);
        SidecarHost.Costs costs =
                new SidecarHost.Costs(
                        day.plan.size(ScenarioParameter.TASK_COST),
                        day.plan.size(ScenarioParameter.READ_COST),
                        day.plan.size(ScenarioParameter.CLOCK_COST));
        host.maxDescriptors(day.plan.count(ScenarioParameter.SOCKETS));
        String list =
                !hasList
                        ? "null"
                        : Instances.json(version + discovery.versionOffset(), true, known);
        process.start(
                new SidecarHost.Process(
                        name,
                        life,
                        config(list),
                        host,
                        day.loops(name + "." + life),
                        costs,
                        status -> exited(currentLife, status)));
        probe.begin();
    }

    private String config(String known) {
        return Settings.json(
                day.plan, name, rank, address, discovery.address(), random.nextLong(), known);
    }

    /** Kills the process at once and restarts it after a delay. */
    void kill(long delay) {
        if (running && !terminating) {
            killNow();
            scheduleRestart(delay);
        }
    }

    private void killNow() {
        if (pendingKill != null) {
            pendingKill.cancel();
            pendingKill = null;
        }
        running = false;
        ready = false;
        day.evidence.sidecarKilled(name, life);
        process.kill();
        host.die();
    }

    /** Sends SIGTERM, then SIGKILL if the process does not end, and restarts it after a delay. */
    void term(long delay) {
        if (!running || terminating) {
            return;
        }
        terminating = true;
        day.evidence.sidecarSigterm(name, life);
        probe.begin();
        process.term();
        int currentLife = life;
        day.after(
                random.between(MIN_CONNECTS_AFTER_TERM_NANOS, MAX_CONNECTS_AFTER_TERM_NANOS),
                () -> {
                    if (life == currentLife) {
                        ready = false;
                    }
                });
        long killDelay =
                day.plan.size(ScenarioParameter.LONGEST_DEADLINE)
                        + TERMINATION_GRACE_NANOS
                        + random.nextLong(500 * Site.MS);
        pendingKill =
                day.after(
                        killDelay,
                        () -> {
                            pendingKill = null;
                            killNow();
                            scheduleRestart(delay);
                        });
        restartAfter = delay;
    }

    private void exited(int exitedLife, int status) {
        if (!running || exitedLife != life) {
            return;
        }
        running = false;
        ready = false;
        day.evidence.sidecarExited(name, life, status);
        host.die();
        if (pendingKill != null) {
            pendingKill.cancel();
            pendingKill = null;
        }
        scheduleRestart(terminating ? restartAfter : 0);
    }

    private void scheduleRestart(long delay) {
        probe.stop();
        day.after(day.bounded(delay) + day.plan.size(ScenarioParameter.START), this::start);
    }

    /** Sends SIGHUP with the new address of discovery as soon as the process may receive it. */
    void hup(Registry newDiscovery) {
        discovery = newDiscovery;
        if (!running || terminating) {
            return;
        }
        if (!ready || day.now() - readyAt < MIN_READY_BEFORE_HUP_NANOS) {
            hupPending = true;
            if (ready) {
                scheduleHup();
            } else {
                restartIfStuck();
            }
            return;
        }
        hupNow();
    }

    /**
     * Restarts a process that waits for a list from the old address of discovery: it would never
     * become ready.
     */
    private void restartIfStuck() {
        int currentLife = life;
        day.after(
                STUCK_NANOS,
                () -> {
                    if (hupPending && !ready && life == currentLife && running && !terminating) {
                        kill(0);
                    }
                });
    }

    private void scheduleHup() {
        int currentLife = life;
        day.after(
                readyAt + MIN_READY_BEFORE_HUP_NANOS - day.now(),
                () -> {
                    if (hupPending && life == currentLife && running && !terminating) {
                        hupNow();
                    }
                });
    }

    private void hupNow() {
        hupPending = false;
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

    // ---- its clients

    /** Adds to the number of open connections from regular clients; negative for closed ones. */
    void addConnections(int count) {
        connections += count;
    }

    /** Whether its clients hold a third of its descriptors, their maximum. */
    boolean isFull() {
        return connections >= day.plan.count(ScenarioParameter.SOCKETS) / 3;
    }

    /** Called when a client could not connect; it is probed again until it is ready. */
    void connectFailed() {
        if (ready) {
            ready = false;
            probe.begin();
        }
    }

    /** Called when its readiness endpoint has answered 200. */
    void becameReady() {
        if (!running || terminating || ready) {
            return;
        }
        ready = true;
        readyAt = day.now();
        day.evidence.sidecarReady(name, life);
        if (hupPending) {
            scheduleHup();
        }
        slots.becameReady();
    }
}
