package appleridge.testbed.simulation;

import java.util.Arrays;
import java.util.Locale;

/**
 * The sizes of a day; each with the value that a scenario has unless it says otherwise, and its
 * bounds.
 */
public enum ScenarioParameter {
    /** How many sidecars. */
    SIDECARS(Unit.COUNT, 3, 1, 5),
    /** How many machines with order servers. */
    SERVERS(Unit.COUNT, 8, 1, 24),
    /** When faults and unusual traffic have ended. */
    FAULTS_END(Unit.TIME, s(8), 0, s(4000)),
    /** From then until the judge measures. */
    RECOVERY(Unit.TIME, s(10), 0, s(60)),
    /** How long the judge measures. */
    CALM(Unit.TIME, s(4), 0, s(60)),
    /** How long nobody asks any more before the day ends, so that the books can be looked at. */
    QUIET(Unit.TIME, s(4), 0, s(60)),

    /** Requests a second, over all sidecars. */
    RATE(Unit.PART, part(18), 0, part(1000)),
    /** Traffic of each sidecar beside that of the one before it. */
    UNEVEN(Unit.PART, part(0.5), part(0.05), part(1)),
    /** Part of the traffic that comes in short bursts, until the faults end. */
    BURSTS(Unit.PART, part(0.2), 0, part(1)),
    /** How long clients wait at most, of the classes for which they wait longest. */
    LONGEST_DEADLINE(Unit.TIME, ms(1500), s(1), s(3)),
    /** How often a client tries again by itself. */
    RETRIES(Unit.COUNT, 1, 0, 5),
    /** The longest first wait before that. */
    BACKOFF(Unit.TIME, ms(40), ms(1), s(5)),
    /** How often it heeds Retry-After. */
    HONOUR(Unit.PART, part(0.9), 0, part(1)),
    /** Part of the clients that leave before their time. */
    IMPATIENT(Unit.PART, part(0.01), 0, part(1)),
    /** Part of the answers that are read slowly. */
    SLOW_READERS(Unit.PART, part(0.02), 0, part(1)),
    /** Part of the requests that are written in pieces some time apart. */
    SLOW_WRITERS(Unit.PART, part(0.1), 0, part(1)),
    /** Part of the requests that are sent behind an open one. */
    PIPELINED(Unit.PART, 0, 0, part(1)),
    /** Part of the clients that ask once and keep their connection. */
    ASK_ONCE(Unit.PART, 0, 0, part(1)),
    /** Part of the requests that have a body of some kilobytes. */
    LARGE_BODIES(Unit.PART, part(0.02), 0, part(1)),

    /** Cores of an order server. */
    CORES(Unit.COUNT, 3, 1, 16),
    /** Work of the requests, times this. */
    WORK(Unit.PART, part(1), part(0.01), part(20)),
    /** Requests that an order server lets wait. */
    QUEUE(Unit.COUNT, 40, 0, 1000),
    /** Connections that an order server holds. */
    CONNECTIONS(Unit.COUNT, 400, 2, 1000),
    /** Work that a new connection costs it. */
    HANDSHAKE(Unit.TIME, ms(4), 0, ms(100)),
    /** From when on a connection that stands idle is closed by it. */
    SERVER_IDLE(Unit.TIME, s(10), ms(50), s(120)),
    /** Part of the requests out of time that it drops instead of running them. */
    DROPS_EXPIRED(Unit.PART, 0, 0, part(1)),
    /** Part of the answers in chunks. */
    CHUNKED(Unit.PART, part(0.1), 0, part(1)),
    /** Part of the answers that have a body of some kilobytes. */
    LARGE_ANSWERS(Unit.PART, part(0.02), 0, part(1)),
    /** Part of the answers that are errors, until the faults end. */
    ERRORS(Unit.PART, part(0.002), 0, part(1)),
    /** Part of the answers that are spoilt, until the faults end. */
    SPOILT(Unit.PART, 0, 0, part(1)),
    /** Part of the good answers that bring more than belongs to them, until the faults end. */
    EXTRAS(Unit.PART, 0, 0, part(1)),
    /** How old a load report may be. */
    REPORT_AGE(Unit.TIME, ms(200), 0, s(10)),

    /** Descriptors that a sidecar may hold. */
    SOCKETS(Unit.COUNT, 512, 64, 100_000),
    /** Requests that it may have open. */
    MAX_OPEN(Unit.COUNT, 400, 1, 100_000),
    /** What it is told of servers' patience with idle connections. */
    CONN_IDLE(Unit.TIME, s(10), ms(100), s(120)),
    /** For how long the servers of a site drop a repeat, where only those of one site do. */
    KEY_WINDOW(Unit.TIME, s(1), ms(50), s(1)),
    /** For how long it may try to connect. */
    CONNECT_TIMEOUT(Unit.TIME, ms(100), ms(5), s(5)),
    /** Whether it may withdraw what it has sent: 1, or 0. */
    MAY_CANCEL(Unit.COUNT, 1, 0, 1),
    /** The longest Retry-After; 0 if it may give none. */
    RETRY_AFTER(Unit.TIME, ms(750), 0, s(10)),
    /** How long it may go on with no word from discovery. */
    ASK_WITHIN(Unit.TIME, s(10), s(1), s(120)),
    /** Whether it is given a list at its start: 1, or 0. */
    KNOWN(Unit.COUNT, 1, 0, 1),
    /**
     * How old the list is that it is given at its start; above the day's length: as of before the
     * day.
     */
    KNOWN_AGE(Unit.TIME, 0, 0, s(600)),
    /** From a process's start until it listens. */
    START(Unit.TIME, ms(400), 0, s(10)),

    /** One way between a client and its sidecar. */
    CLIENT_DELAY(Unit.TIME, us(70), 0, s(1)),
    /** One way within a site. */
    NEAR_DELAY(Unit.TIME, us(240), 0, s(1)),
    /** One way between sites. */
    FAR_DELAY(Unit.TIME, us(600), 0, s(1)),
    /** Jitter, as a part of the delay. */
    JITTER(Unit.PART, part(0.2), 0, part(20)),
    /** Part of the links whose bytes come in small pieces. */
    CHOPPED(Unit.PART, 0, 0, part(1)),
    /** Part of the segments that come late, until the faults end. */
    LOSS(Unit.PART, 0, 0, part(1)),
    /** By how much those are late. */
    LOSS_DELAY(Unit.TIME, ms(200), 0, s(10)),
    /** Bytes a second of a link; 0 for no bound. */
    BANDWIDTH(Unit.COUNT, 0, 0, 1_000_000_000),
    /** Bytes that a socket holds before it takes no more. */
    SEND_BUFFER(Unit.COUNT, 65_536, 64, 1_000_000),
    /** Bytes that a socket holds unread. */
    RECEIVE_BUFFER(Unit.COUNT, 65_536, 64, 1_000_000),

    /** What a task costs a sidecar's loop, on average. */
    TASK_COST(Unit.TIME, us(20), 0, ms(50)),
    /** What an event of a socket costs it. */
    READ_COST(Unit.TIME, us(10), 0, ms(50)),
    /** What passes with a look at the clock. */
    CLOCK_COST(Unit.TIME, 100, 0, ms(5)),

    /** From an orderly change until discovery knows of it. */
    NOTICE(Unit.TIME, s(1), 0, s(30)),
    /** From a silent death until discovery knows of it. */
    SILENT_NOTICE(Unit.TIME, s(4), 0, s(60)),
    /** From a server's start until it is listed. */
    ADD_NOTICE(Unit.TIME, s(1), 0, s(30)),
    /** What a call costs discovery, which works through them in turn. */
    CALL_COST(Unit.TIME, ms(50), 0, s(5)),

    /** Where sidecars have the list from: 0 from discovery, 1 from ephemeral nodes, 2 from both. */
    MEMBERSHIP(Unit.COUNT, 0, 0, 2),
    /** After so long without a word a session with the coordination service ends. */
    SESSION_TIMEOUT(Unit.TIME, s(2), ms(200), s(60));

    private final Unit unit;
    private final long usual;
    private final long least;
    private final long most;

    ScenarioParameter(Unit unit, long usual, long least, long most) {
        this.unit = unit;
        this.usual = usual;
        this.least = least;
        this.most = most;
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

    /** As a part is kept. */
    static long part(double value) {
        return Math.round(value * 1e6);
    }

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

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
        return usual;
    }

    long checked(long value) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    word()
                            + " "
                            + unit.text(value)
                            + " is not between "
                            + unit.text(least)
                            + " and "
                            + unit.text(most));
        }
        return value;
    }
}
