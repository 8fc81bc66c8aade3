package appleridge.testbed.invariants;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Checks the invariants of a simulated day and records each violation with its time. An event is
 * checked when it arrives; what is due later is checked by {@link #check}.
 *
 * <p>Events must arrive in the order in which they happen. The checker sees a sidecar from outside:
 * the events of the stand-ins around it, the decision module's reports on requests that it gave up,
 * and the sidecar's resource counts when it is idle and at the end of the day.
 */
public final class InvariantChecker extends DayListenerFanOut {
    private final ScheduledChecks checks;
    private final LongSupplier time;
    private final Findings findings;
    private final RecoveryRule recovery;
    private final ResourceLeakRule leakRule;
    private final BufferRule buffers;

    private InvariantChecker(
            List<DayListener> rules,
            LongSupplier time,
            RuleContext context,
            RecoveryRule recovery,
            BufferRule buffers) {
        super(rules);
        this.buffers = buffers;
        this.time = time;
        this.checks = context.checks();
        this.findings = context.findings();
        this.recovery = recovery;
        this.leakRule = new ResourceLeakRule(findings);
    }

    /**
     * Creates the checker of one day.
     *
     * @param time the simulation's clock
     * @param zoneOf the zone of a server
     * @param sockets what the sockets show
     * @param load how busy the sidecars' loops are
     * @param probe what the sidecars count, and what their machines hold
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
        BufferRule buffers = new BufferRule(context, probe);
        // Listeners that record what the rules look up come before them; the one that records
        // what they compare with comes last.
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
                        buffers,
                        recovery,
                        requests.afterRules()),
                time,
                context,
                recovery,
                buffers);
    }

    @Override
    protected void before() {
        checks.runBefore(time.getAsLong());
    }

    /**
     * Runs the checks that are due, and checks what is buffered; to be called after each step of
     * the simulation.
     */
    public void check(long now) {
        checks.runBefore(now);
        buffers.check(now);
    }

    /**
     * Checks a sidecar's resource counts at the end of the day, when no request is open and
     * connections have had time to close.
     *
     * @param baseline the counts that are allowed
     */
    public void checkResources(String sidecar, ResourceCounts now, ResourceCounts baseline) {
        before();
        leakRule.compare(sidecar, now, baseline);
    }

    /** Returns the violations so far, in the order of detection. */
    public List<InvariantViolation> violations() {
        return findings.all();
    }

    /** Returns how many requests after the last fault were judged; known at the end of the day. */
    public int judgedForRecovery() {
        return recovery.judged();
    }
}
