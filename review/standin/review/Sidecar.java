package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One sidecar, started by `run` of the deploy file. */
public final class Sidecar {
    private final Process process;
    private final int port;
    private final Path output;

    public Sidecar(Path root, Path folder, Map<String, Object> config) throws IOException {
        port = freePort();
        config.put("listen", "127.0.0.1:" + port);
        Path file = folder.resolve("config.json");
        Files.writeString(file, Json.of(config));
        output = folder.resolve("sidecar.log");
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command(root, "run"))
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile());
        builder.environment().put("BALANCER_NAME", "n0");
        builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("BALANCER_DISCOVERY", (String) config.get("discovery"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** The command under that key of the deploy file. */
    static String command(Path root, String key) throws IOException {
        String text = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(text);
        if (!line.find()) {
            throw new IOException("no " + key + " in the deploy file");
        }
        return line.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    public int port() {
        return port;
    }

    public Process process() {
        return process;
    }

    public Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Waits until it answers 200 on its readiness path. */
    public boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = connect()) {
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write(
                                "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                Http answer = Http.read(in);
                if (answer != null && answer.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            Thread.sleep(20);
        }
        return false;
    }

    public Path output() {
        return output;
    }

    /** Kills it, if it still runs. */
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }
}
