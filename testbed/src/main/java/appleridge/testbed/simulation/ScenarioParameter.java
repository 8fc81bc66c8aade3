package appleridge.testbed.simulation;

import java.util.Arrays;
import java.util.Locale;

/**
 * The parameters of a simulated day, each with its unit, its default and its bounds. Scenarios name
 * them in lower case with hyphens.
 */
public enum ScenarioParameter {
    /** Number of sidecars. */
    SIDECARS(Unit.COUNT, 3, 1, 5),
    /** Number of machines that run an order server. */
    SERVERS(Unit.COUNT, 8, 1, 24),
    /** Time at which faults, bursts and corrupted responses end. */
    FAULTS_END(Unit.TIME, s(8), 0, s(4000)),
    /** From the end of faults until the invariants measure recovery. */
    RECOVERY(Unit.TIME, s(10), 0, s(60)),
    /** How long the invariants measure recovery. */
    CALM(Unit.TIME, s(4), 0, s(60)),
    /** How long no new request is sent before the day ends, so that the final state is settled. */
    QUIET(Unit.TIME, s(4), 0, s(60)),

    /** Requests per second over all sidecars. */
    RATE(Unit.PART, part(18), 0, part(1000)),
    /** Traffic of each sidecar as a fraction of the traffic of the one before it. */
    UNEVEN(Unit.PART, part(0.5), part(0.05), part(1)),
    /** Fraction of the traffic that is sent in short bursts, until the faults end. */
    BURSTS(Unit.PART, part(0.2), 0, part(1)),
    /** Deadline of the request classes with the longest deadline. */
    LONGEST_DEADLINE(Unit.TIME, ms(1500), s(1), s(3)),
    /** How often a client retries a failed request. */
    RETRIES(Unit.COUNT, 1, 0, 5),
    /** Maximum backoff before a client's first retry. */
    BACKOFF(Unit.TIME, ms(40), ms(1), s(5)),
    /** Fraction of the Retry-After headers that a client respects. */
    HONOUR(Unit.PART, part(0.9), 0, part(1)),
    /** Fraction of the clients that disconnect before their deadline. */
    IMPATIENT(Unit.PART, part(0.01), 0, part(1)),
    /** Fraction of the clients that send a long request and disconnect within 0.1 s. */
    DEPARTING(Unit.PART, 0, 0, part(1)),
    /** Fraction of the responses that clients read slowly. */
    SLOW_READERS(Unit.PART, part(0.02), 0, part(1)),
    /** Fraction of the requests that are written in pieces with pauses between them. */
    SLOW_WRITERS(Unit.PART, part(0.1), 0, part(1)),
    /** Fraction of the requests that are pipelined behind an open one. */
    PIPELINED(Unit.PART, 0, 0, part(1)),
    /** Fraction of the clients that send one request and keep their connection open. */
    ASK_ONCE(Unit.PART, 0, 0, part(1)),
    /** Fraction of the requests that have a body of some kilobytes. */
    LARGE_BODIES(Unit.PART, part(0.02), 0, part(1)),

    /** CPU cores of an order server. */
    CORES(Unit.COUNT, 3, 1, 16),
    /** Factor on the CPU time of every request. */
    WORK(Unit.PART, part(1), part(0.01), part(20)),
    /** Maximum number of requests queued at an order server. */
    QUEUE(Unit.COUNT, 40, 0, 1000),
    /** Connections that an order server serves; it rejects requests on further ones. */
    CONNECTIONS(Unit.COUNT, 400, 2, 1000),
    /** CPU time that a new connection costs an order server. */
    HANDSHAKE(Unit.TIME, ms(4), 0, ms(100)),
    /** Idle timeout of connections at an order server. */
    SERVER_IDLE(Unit.TIME, s(10), ms(50), s(120)),
    /** Fraction of the requests past their deadline that an order server drops unprocessed. */
    DROPS_EXPIRED(Unit.PART, 0, 0, part(1)),
    /** Fraction of the responses sent in chunked encoding. */
    CHUNKED(Unit.PART, part(0.1), 0, part(1)),
    /** Fraction of the responses that have a body of some kilobytes. */
    LARGE_ANSWERS(Unit.PART, part(0.02), 0, part(1)),
    /** Fraction of the responses that are errors, until the faults end. */
    ERRORS(Unit.PART, part(0.002), 0, part(1)),
    /** Fraction of the responses that are corrupted, until the faults end. */
    SPOILT(Unit.PART, 0, 0, part(1)),
    /**
     * Fraction of the valid responses with an extra such as a second copy, until the faults end.
     */
    EXTRAS(Unit.PART, 0, 0, part(1)),
    /** Maximum age of a load report. */
    REPORT_AGE(Unit.TIME, ms(200), 0, s(10)),

    /** File descriptor limit of a sidecar. */
    SOCKETS(Unit.COUNT, 512, 64, 100_000),
    /** Maximum number of open requests of a sidecar. */
    MAX_OPEN(Unit.COUNT, 400, 1, 100_000),
    /** Bytes of requests that a sidecar buffers; half as many of responses. */
    BUFFER_BUDGET(Unit.COUNT, 16 << 20, 10_000, 1 << 30),
    /** Idle timeout of upstream connections in a sidecar's settings. */
    CONN_IDLE(Unit.TIME, s(10), ms(100), s(120)),
    /** Deduplication window of request classes that are deduplicated per zone. */
    KEY_WINDOW(Unit.TIME, s(1), ms(50), s(1)),
    /** Connect timeout of a sidecar. */
    CONNECT_TIMEOUT(Unit.TIME, ms(100), ms(5), s(5)),
    /** Whether a sidecar may cancel a request that it has sent upstream: 1 or 0. */
    MAY_CANCEL(Unit.COUNT, 1, 0, 1),
    /** Maximum Retry-After that a sidecar sends; 0 if it may send none. */
    RETRY_AFTER(Unit.TIME, ms(750), 0, s(10)),
    /** How long a sidecar may go without a response from discovery. */
    ASK_WITHIN(Unit.TIME, s(10), s(1), s(120)),
    /** Whether a sidecar starts with an endpoint list: 1 or 0. */
    KNOWN(Unit.COUNT, 1, 0, 1),
    /**
     * Age of the endpoint list that a sidecar starts with; an age before the start of the day gives
     * the list from before the day.
     */
    KNOWN_AGE(Unit.TIME, 0, 0, s(600)),
    /** Startup time of a sidecar process until it listens. */
    START(Unit.TIME, ms(400), 0, s(10)),

    /** One-way delay between a client and its sidecar. */
    CLIENT_DELAY(Unit.TIME, us(70), 0, s(1)),
    /** One-way delay within a zone. */
    NEAR_DELAY(Unit.TIME, us(240), 0, s(1)),
    /** One-way delay between zones. */
    FAR_DELAY(Unit.TIME, us(600), 0, s(1)),
    /** Jitter as a fraction of the delay. */
    JITTER(Unit.PART, part(0.2), 0, part(20)),
    /** Fraction of the links that deliver bytes in small segments. */
    CHOPPED(Unit.PART, 0, 0, part(1)),
    /** Fraction of the segments that are delayed by a loss, until the faults end. */
    LOSS(Unit.PART, 0, 0, part(1)),
    /** Delay of a segment after a loss. */
    LOSS_DELAY(Unit.TIME, ms(200), 0, s(10)),
    /** Bandwidth of a link in bytes per second; 0 for unlimited. */
    BANDWIDTH(Unit.COUNT, 0, 0, 1_000_000_000),
    /** Send buffer of a socket in bytes. */
    SEND_BUFFER(Unit.COUNT, 65_536, 64, 1_000_000),
    /** Receive buffer of a socket in bytes. */
    RECEIVE_BUFFER(Unit.COUNT, 65_536, 64, 1_000_000),

    /** Mean time that a task takes in a sidecar's event loop. */
    TASK_COST(Unit.TIME, us(20), 0, ms(50)),
    /** Mean time that a socket event takes in a sidecar's event loop. */
    READ_COST(Unit.TIME, us(10), 0, ms(50)),
    /** Mean time that a sidecar's event loop takes to read the clock. */
    CLOCK_COST(Unit.TIME, 100, 0, ms(5)),

    /** From an orderly change of a server until discovery notices it. */
    NOTICE(Unit.TIME, s(1), 0, s(30)),
    /** From a server's crash until discovery notices it. */
    SILENT_NOTICE(Unit.TIME, s(4), 0, s(60)),
    /** From a server's start until discovery lists it. */
    ADD_NOTICE(Unit.TIME, s(1), 0, s(30)),
    /** Whether lists are pushed to an agent beside each sidecar: 1 or 0. */
    LISTS_PUSHED(Unit.COUNT, 0, 0, 1),
    /** Time from the delivery of a drain to the last send. */
    DRAIN_GRACE(Unit.TIME, s(2), ms(200), s(10)),
    /** Processing time of a discovery call; calls are processed one after the other. */
    CALL_COST(Unit.TIME, ms(50), 0, s(5)),

    /** Source of the endpoint list: 0 for discovery, 1 for ephemeral nodes, 2 for both. */
    MEMBERSHIP(Unit.COUNT, 0, 0, 2),
    /** Session timeout of the coordination service. */
    SESSION_TIMEOUT(Unit.TIME, s(2), ms(200), s(60));

    private final Unit unit;
    private final long defaultValue;
    private final long min;
    private final long max;

    ScenarioParameter(Unit unit, long defaultValue, long min, long max) {
        this.unit = unit;
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
    }

    private static long s(long seconds) {
        return seconds * Site.SECOND;
    }

    private static long ms(long millis) {
        return millis * Site.MS;
    }

    private static long us(long micros) {
        return micros * 1000;
    }

    /** Converts a fraction to the stored unit, millionths. */
    static long part(double value) {
        return Math.round(value * 1e6);
    }

    /** The name of this parameter in a scenario. */
    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a parameter by its name in a scenario.
     *
     * @throws IllegalArgumentException if there is none
     */
    static ScenarioParameter of(String word) {
        for (ScenarioParameter each : values()) {
            if (each.word().equals(word)) {
                return each;
            }
        }
        throw new IllegalArgumentException(
                Suggestions.unknownName(
                        "size",
                        word,
                        Arrays.stream(values()).map(ScenarioParameter::word).toList()));
    }

    Unit unit() {
        return unit;
    }

    long defaultValue() {
        return defaultValue;
    }

    /**
     * Returns the value.
     *
     * @throws IllegalArgumentException if it is out of bounds
     */
    long checkRange(long value) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    word()
                            + " "
                            + unit.text(value)
                            + " is not between "
                            + unit.text(min)
                            + " and "
                            + unit.text(max));
        }
        return value;
    }
}
