package appleridge.testbed.invariants;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Watches a day and says which rule broke, and when. Each event checks what it concerns at once;
 * what is due later is looked at when its time has come, by {@link #check}.
 *
 * <p>What it is told must come in the order in which it happens. Of a sidecar it knows nothing but
 * what the stand-ins around it saw, the module's word on requests that it gave up, and at the end
 * of the day its books.
 */
public final class InvariantChecker extends DayListenerFanOut {
    private final Alarms alarms;
    private final LongSupplier time;
    private final Findings findings;
    private final RecoveryRule recovery;
    private final BooksRule books;

    private InvariantChecker(
            List<DayListener> inOrder, LongSupplier time, Shared shared, RecoveryRule recovery) {
        super(inOrder);
        this.time = time;
        this.alarms = shared.alarms();
        this.findings = shared.findings();
        this.recovery = recovery;
        this.books = new BooksRule(findings);
    }

    /**
     * A judge of one day.
     *
     * @param time the simulation's
     * @param zoneOf the zone of a server
     * @param wires what the sockets show
     * @param load how loaded the sidecars are
     * @param ledger what they count, and hold
     */
    public static InvariantChecker ofDay(
            InvariantBounds figures,
            LongSupplier time,
            UnaryOperator<String> zoneOf,
            SocketObserver wires,
            Load load,
            ResourceProbe ledger) {
        Alarms alarms = new Alarms();
        SidecarIncarnations lives = new SidecarIncarnations(alarms);
        Findings findings = new Findings(alarms);
        Requests requests = new Requests(alarms, lives);
        ExcusedTimes excuses = new ExcusedTimes(load, figures.loop());
        Shared shared = new Shared(alarms, findings, requests, lives, excuses, wires);
        Lists lists = new Lists(figures, alarms);
        DeliveredNodes nodes = new DeliveredNodes(alarms);
        RecoveryRule recovery = new RecoveryRule(figures, shared);
        // What the rules look up is noted ahead of them, and what they compare with only after
        // them.
        return new InvariantChecker(
                List.of(
                        lives,
                        excuses,
                        lists,
                        nodes,
                        requests.opening(),
                        new AnswerRules(requests, findings),
                        new LostRule(figures, shared),
                        new LateRule(figures, shared),
                        new EffectRule(figures, requests, findings, zoneOf),
                        new RequestRule(figures, shared),
                        new RetryAfterRule(figures, findings),
                        new ReadyRule(figures, lists, shared),
                        new EndingRule(figures, shared),
                        new DiscoveryRule(shared),
                        new HiddenRule(findings),
                        new SameIdRule(figures, shared),
                        new SentAfterRule(figures, shared),
                        new DrainRule(figures, lists, nodes, findings),
                        new ListRule(nodes, shared),
                        new ColdRule(figures, lists, nodes, shared),
                        new GivenUpRule(figures, shared),
                        new BadClientRule(shared),
                        new ExitRule(lives, findings),
                        new QuietRule(shared, ledger),
                        recovery,
                        requests.closing()),
                time,
                shared,
                recovery);
    }

    @Override
    protected void before() {
        alarms.runBefore(time.getAsLong());
    }

    /**
     * To be called after each step: looks at what is due. Costs next to nothing when nothing is.
     */
    public void check(long now) {
        alarms.runBefore(now);
    }

    /**
     * The books of a sidecar at the end of the day, when no request is open and connections have
     * had the time to be closed.
     *
     * @param baseline what may be in them
     */
    public void checkResources(String sidecar, ResourceCounts now, ResourceCounts baseline) {
        before();
        books.compare(sidecar, now, baseline);
    }

    /** What has been found so far, in the order of finding. */
    public List<InvariantViolation> violations() {
        return findings.all();
    }

    /**
     * How many requests of the time after the last fault were judged; known when the day has ended.
     */
    public int judgedForRecovery() {
        return recovery.judged();
    }
}
