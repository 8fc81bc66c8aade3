package appleridge.discovery.zookeeper;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.zookeeper.Watcher;
import org.apache.zookeeper.ZooKeeper;
import org.apache.zookeeper.client.ZKClientConfig;
import org.apache.zookeeper.common.ClientX509Util;
import org.apache.zookeeper.common.X509Exception;
import org.apache.zookeeper.common.ZKConfig;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Id;

/** Opens and closes the client's handles. Both block, so never on the event loop. */
public final class ZooKeeperClientFactory {
    /** After this many milliseconds a handle that is closed waits for no answer any more. */
    private static final int LEAVE_MILLIS = 1000;

    /**
     * Permissions, as {@code ZooDefs.Perms} has them; that class can't be compiled against without
     * a warning.
     */
    private static final int READ = 1;

    private static final int EVERYTHING = 31;

    private ZooKeeperClientFactory() {}

    /** Begins to connect; what becomes of that is told to the watcher. */
    public static ZooKeeper open(ZooKeeperSettings settings, Watcher watcher) throws IOException {
        ZooKeeper client =
                new ZooKeeper(
                        settings.connect(),
                        settings.sessionTimeoutMillis(),
                        watcher,
                        settings.readOnly(),
                        config(settings));
        if (settings.digest() != null) {
            client.addAuthInfo("digest", settings.digest().getBytes(StandardCharsets.UTF_8));
        }
        return client;
    }

    /**
     * Checks whether the files for TLS can be used. The client would find out only as it connects,
     * about once a second, with a stack trace of Netty's each time.
     *
     * @throws IllegalArgumentException naming what is wrong
     */
    public static void check(ZooKeeperSettings settings) {
        if (settings.tls() != null) {
            try (ClientX509Util tls = new ClientX509Util()) {
                tls.createSSLContext(config(settings));
            } catch (X509Exception e) {
                Throwable first = e;
                while (first.getCause() != null) {
                    first = first.getCause();
                }
                throw new IllegalArgumentException("[membership.tls]: " + first.getMessage());
            }
        }
    }

    /**
     * The access list of new nodes: an authenticated client may change them, anybody may read them.
     * The client asks the list whether it holds null, which a list of {@code List.of} answers with
     * an exception.
     */
    public static List<ACL> acl(ZooKeeperSettings settings) {
        ACL everybody =
                new ACL(settings.digest() == null ? EVERYTHING : READ, new Id("world", "anyone"));
        return settings.digest() == null
                ? Arrays.asList(everybody)
                : Arrays.asList(everybody, new ACL(EVERYTHING, new Id("auth", "")));
    }

    /** Ends the session, or leaves it to its time-out where no server answers. */
    public static void close(ZooKeeper client) {
        try {
            client.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static ZKClientConfig config(ZooKeeperSettings settings) {
        ZKClientConfig config = new ZKClientConfig();
        config.setProperty(ZKClientConfig.ENABLE_CLIENT_SASL_KEY, "false");
        config.setProperty(
                ZKClientConfig.ZOOKEEPER_REQUEST_TIMEOUT, Integer.toString(LEAVE_MILLIS));
        config.setProperty(ZKConfig.JUTE_MAXBUFFER, Integer.toString(settings.maxResponseBytes()));
        ZooKeeperSettings.Tls tls = settings.tls();
        if (tls != null) {
            config.setProperty(ZKClientConfig.SECURE_CLIENT, "true");
            config.setProperty(
                    ZKClientConfig.ZOOKEEPER_CLIENT_CNXN_SOCKET,
                    "org.apache.zookeeper.ClientCnxnSocketNetty");
            try (ClientX509Util names = new ClientX509Util()) {
                file(config, names.getSslTruststoreLocationProperty(), tls.trustStore());
                file(config, names.getSslTruststorePasswdPathProperty(), tls.trustPassword());
                file(config, names.getSslKeystoreLocationProperty(), tls.keyStore());
                file(config, names.getSslKeystorePasswdPathProperty(), tls.keyPassword());
                config.setProperty(
                        names.getSslHostnameVerificationEnabledProperty(),
                        Boolean.toString(tls.checkAddress()));
            }
        }
        return config;
    }

    private static void file(ZKClientConfig config, String name, Path file) {
        if (file != null) {
            config.setProperty(name, file.toString());
        }
    }
}
