import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** What all cases share: ports, the record, the sidecar as a process, its configuration. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The case could not run. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String why) {
            super(why);
        }
    }

    interface Case {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    final Path root;
    final Path tmp;
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    private Rig() throws IOException {
        root = Path.of(System.getProperty("root"));
        tmp = Path.of(System.getProperty("tmp"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))), true);
    }

    /** Runs a case and ends with its status: 0 held, 1 broken, 2 could not run. */
    static void main(Case test) throws Exception {
        int status = 2;
        try (Rig rig = new Rig()) {
            rig.note("TROUBLE=" + (TROUBLE ? 1 : 0));
            try {
                status = test.run(rig) ? 0 : 1;
            } catch (CannotRun e) {
                rig.note("could not run: " + e.getMessage());
            } catch (Exception | Error e) {
                rig.note("could not run: " + e);
            }
            rig.note(status == 0 ? "RESULT the rule held" : status == 1 ? "RESULT the rule was broken" : "RESULT could not run");
        }
        Runtime.getRuntime().halt(status);
    }

    static void check(boolean condition, String otherwise) {
        if (!condition) {
            throw new CannotRun(otherwise);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", seconds(), line);
        record.println(text);
        System.out.println(text);
    }

    /** Writes a line to the record only. */
    synchronized void log(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), line));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The value of a key of the deploy file that is a string. */
    private String deploy(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                String quoted = line.substring(key.length() + 4, line.lastIndexOf('"'));
                return quoted.replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new CannotRun("deploy/balancer.toml has no " + key);
    }

    /** Starts a sidecar with the deploy file's run command and waits until it is ready. */
    Sidecar startSidecar(String name, int port, String config) throws Exception {
        Path file = tmp.resolve(name + ".json");
        Files.writeString(file, config);
        Path own = Files.createDirectories(tmp.resolve("tmp-" + name));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deploy("run"));
        builder.directory(root.toFile());
        Map<String, String> env = builder.environment();
        env.keySet().removeIf(key -> key.startsWith("BALANCER_"));
        env.put("BALANCER_NAME", name);
        env.put("BALANCER_LISTEN", "127.0.0.1:" + port);
        env.put("BALANCER_CONFIG", file.toString());
        env.put("TMPDIR", own.toString());
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        Path output = tmp.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        Process process = builder.start();
        processes.add(process);
        note("sidecar " + name + " started on port " + port);
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until) {
            check(process.isAlive(), "the sidecar ended during its start: " + Files.readString(output));
            try (Http.Connection c = Http.connect(port, 1000)) {
                c.send("GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                if (c.read(1000).status == 200) {
                    note("sidecar " + name + " is ready");
                    return new Sidecar(process, output, file);
                }
            } catch (IOException e) {
                // not yet
            }
            sleep(50);
        }
        throw new CannotRun("the sidecar was not ready within 30 s");
    }

    record Sidecar(Process process, Path output, Path config) {
        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** Copies the log lines of a sidecar that hold a text into the record. */
    void quote(Sidecar sidecar, String... texts) throws IOException {
        for (String line : Files.readAllLines(sidecar.output())) {
            for (String text : texts) {
                if (line.contains(text)) {
                    log("sidecar's log: " + line);
                    break;
                }
            }
        }
    }

    /** An upstream as discovery lists it. */
    record Target(String uid, int port, String zone, String state, long bootMillis) {
        Target with(String newState) {
            return new Target(uid, port, zone, newState, bootMillis);
        }

        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                    + "\",\"model\":\"std-3c\",\"pod_group\":0,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
        }
    }

    static String list(long rev, boolean all, Collection<Target> targets) {
        StringJoiner joined = new StringJoiner(",");
        targets.forEach(t -> joined.add(t.json()));
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + joined + "]}";
    }

    /** A configuration like that of velo-trade-mu; askWithin and the connect time-out are given. */
    static String config(String name, int port, int discoveryPort, String known, long askWithinMillis, long connectMillis) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"" + Long.toHexString(new Random().nextLong()) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"peer_listen\":\"127.0.0.1:9\",\"peers\":[],\"known\":" + known + ",\"settings\":{"
                + "\"profiles\":["
                + "{\"name\":\"stock-check\",\"slo\":200000000,\"deadline\":400000000,\"semantics\":\"repeatable\",\"keyScope\":\"all\",\"keyTtl\":5000000000,\"lateShare\":0.0,\"stream\":false,\"worth\":1.0},"
                + "{\"name\":\"stock-hold\",\"slo\":400000000,\"deadline\":1000000000,\"semantics\":\"by_key\",\"keyScope\":\"zone\",\"keyTtl\":1000000000,\"lateShare\":0.0,\"stream\":false,\"worth\":3.0},"
                + "{\"name\":\"order-confirm\",\"slo\":500000000,\"deadline\":1500000000,\"semantics\":\"by_key\",\"keyScope\":\"all\",\"keyTtl\":7500000000,\"lateShare\":0.0,\"stream\":false,\"worth\":10.0},"
                + "{\"name\":\"pay-deposit\",\"slo\":500000000,\"deadline\":1500000000,\"semantics\":\"once\",\"lateShare\":0.0,\"stream\":false,\"worth\":10.0}],"
                + "\"parties\":[{\"name\":\"cycles-moris\",\"portion\":1.0,\"quotaRps\":320.0}],"
                + "\"zones\":[\"ebene\",\"port-louis\",\"rose-belle\"],\"kinds\":[\"std-3c\"],\"rank\":0,\"replicasOfMe\":1,\"zone\":0,"
                + "\"quantum\":5000000,\"discovery\":\"subscribe\",\"report\":{\"how\":\"silent\",\"fields\":[]},"
                + "\"caps\":{\"mayCancel\":true,\"mayProbe\":false,\"parallelTries\":false,\"peers\":false,\"tryLimit\":6,\"connIdle\":10000000000,\"connectTimeout\":"
                + connectMillis * 1_000_000 + ",\"maxOpen\":1000,\"maxRetryAfter\":750000000,\"retryAfter\":false,\"streamsPerConn\":1},"
                + "\"rules\":{\"answerSlack\":20000000,\"askWithin\":" + askWithinMillis * 1_000_000
                + ",\"stopSendingWithin\":2000000000,\"coldShare\":0.39,\"rampTime\":7400000000,\"overloadFactor\":4.0,\"tipAfter\":1500000000},"
                + "\"serviceType\":\"mesh\",\"weights\":\"silent\",\"valueBy\":\"request\",\"overShareWorth\":0.1}}";
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
        record.flush();
    }
}
