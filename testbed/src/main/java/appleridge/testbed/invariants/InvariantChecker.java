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
    private final ScheduledChecks checks;
    private final LongSupplier time;
    private final Findings findings;
    private final RecoveryRule recovery;
    private final ResourceLeakRule leakRule;

    private InvariantChecker(
            List<DayListener> rules,
            LongSupplier time,
            RuleContext context,
            RecoveryRule recovery) {
        super(rules);
        this.time = time;
        this.checks = context.checks();
        this.findings = context.findings();
        this.recovery = recovery;
        this.leakRule = new ResourceLeakRule(findings);
    }

    /**
     * A judge of one day.
     *
     * @param time the simulation's
     * @param zoneOf the zone of a server
     * @param sockets what the sockets show
     * @param load how loaded the sidecars are
     * @param probe what they count, and hold
     */
    public static InvariantChecker ofDay(
            InvariantBounds bounds,
            LongSupplier time,
            UnaryOperator<String> zoneOf,
            SocketObserver sockets,
            LoopLoad load,
            ResourceProbe probe) {
        ScheduledChecks checks = new ScheduledChecks();
        SidecarIncarnations incarnations = new SidecarIncarnations(checks);
        Findings findings = new Findings(checks);
        Requests requests = new Requests(checks, incarnations);
        ExcusedTimes excuses = new ExcusedTimes(load, bounds.loopDelay());
        RuleContext context =
                new RuleContext(checks, findings, requests, incarnations, excuses, sockets);
        DeliveredLists lists = new DeliveredLists(bounds, checks);
        DeliveredNodes nodes = new DeliveredNodes(checks);
        RecoveryRule recovery = new RecoveryRule(bounds, context);
        // What the rules look up is noted ahead of them, and what they compare with only after
        // them.
        return new InvariantChecker(
                List.of(
                        incarnations,
                        excuses,
                        lists,
                        nodes,
                        requests.beforeRules(),
                        new AnswerRules(requests, findings),
                        new LostRule(bounds, context),
                        new LateRule(bounds, context),
                        new DuplicateEffectRule(bounds, requests, findings, zoneOf),
                        new RequestRule(bounds, context),
                        new RetryAfterRule(bounds, findings),
                        new ReadyRule(bounds, lists, context),
                        new ShutdownRule(bounds, context),
                        new DiscoveryRule(context),
                        new SmuggledRequestRule(findings),
                        new SameIdRule(bounds, context),
                        new SentAfterRule(bounds, context),
                        new DrainRule(bounds, lists, nodes, findings),
                        new ListRule(nodes, context),
                        new ColdRule(bounds, lists, nodes, context),
                        new GivenUpRule(bounds, context),
                        new BadClientRule(context),
                        new ExitRule(incarnations, findings),
                        new IdleResourcesRule(context, probe),
                        recovery,
                        requests.afterRules()),
                time,
                context,
                recovery);
    }

    @Override
    protected void before() {
        checks.runBefore(time.getAsLong());
    }

    /**
     * To be called after each step: looks at what is due. Costs next to nothing when nothing is.
     */
    public void check(long now) {
        checks.runBefore(now);
    }

    /**
     * The books of a sidecar at the end of the day, when no request is open and connections have
     * had the time to be closed.
     *
     * @param baseline what may be in them
     */
    public void checkResources(String sidecar, ResourceCounts now, ResourceCounts baseline) {
        before();
        leakRule.compare(sidecar, now, baseline);
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
