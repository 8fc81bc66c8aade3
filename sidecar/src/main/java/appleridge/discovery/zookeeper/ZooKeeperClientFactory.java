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

/** Opens and closes handles of ZooKeeper's client. Both block; not for the event loop. */
public final class ZooKeeperClientFactory {
    /** How long, in milliseconds, closing a handle waits for the response. */
    private static final int CLOSE_TIMEOUT_MILLIS = 1000;

    /**
     * Permissions with the values of {@code ZooDefs.Perms}, a class whose use causes a compiler
     * warning.
     */
    private static final int PERMISSION_READ = 1;

    private static final int PERMISSION_ALL = 31;

    private ZooKeeperClientFactory() {}

    /** Starts to connect; the watcher is notified of the result. */
    public static ZooKeeper open(ZooKeeperSettings settings, Watcher watcher) throws IOException {
        ZooKeeper client =
                new ZooKeeper(
                        settings.connectString(),
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
     * Checks whether the files for TLS can be used. The client itself would fail only when it
     * connects, about once a second, each time with a stack trace of Netty's.
     *
     * @throws IllegalArgumentException if they can't, with the reason
     */
    public static void check(ZooKeeperSettings settings) {
        if (settings.tls() != null) {
            try (ClientX509Util tls = new ClientX509Util()) {
                tls.createSSLContext(config(settings));
            } catch (X509Exception e) {
                Throwable root = e;
                while (root.getCause() != null) {
                    root = root.getCause();
                }
                throw new IllegalArgumentException("[membership.tls]: " + root.getMessage());
            }
        }
    }

    /**
     * Returns the access list of new nodes: authenticated clients may change them, everybody may
     * read them. Does not use {@code List.of}, because the client calls {@code contains(null)}, for
     * which such a list throws an exception.
     */
    public static List<ACL> acl(ZooKeeperSettings settings) {
        ACL everybody =
                new ACL(
                        settings.digest() == null ? PERMISSION_ALL : PERMISSION_READ,
                        new Id("world", "anyone"));
        return settings.digest() == null
                ? Arrays.asList(everybody)
                : Arrays.asList(everybody, new ACL(PERMISSION_ALL, new Id("auth", "")));
    }

    /** Closes the session; if no server answers, it ends with its time-out. */
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
                ZKClientConfig.ZOOKEEPER_REQUEST_TIMEOUT, Integer.toString(CLOSE_TIMEOUT_MILLIS));
        config.setProperty(ZKConfig.JUTE_MAXBUFFER, Integer.toString(settings.maxResponseBytes()));
        ZooKeeperSettings.Tls tls = settings.tls();
        if (tls != null) {
            config.setProperty(ZKClientConfig.SECURE_CLIENT, "true");
            config.setProperty(
                    ZKClientConfig.ZOOKEEPER_CLIENT_CNXN_SOCKET,
                    "org.apache.zookeeper.ClientCnxnSocketNetty");
            try (ClientX509Util names = new ClientX509Util()) {
                setFile(config, names.getSslTruststoreLocationProperty(), tls.trustStore());
                setFile(
                        config,
                        names.getSslTruststorePasswdPathProperty(),
                        tls.trustPasswordFile());
                setFile(config, names.getSslKeystoreLocationProperty(), tls.keyStore());
                setFile(config, names.getSslKeystorePasswdPathProperty(), tls.keyPasswordFile());
                config.setProperty(
                        names.getSslHostnameVerificationEnabledProperty(),
                        Boolean.toString(tls.checkAddress()));
            }
        }
        return config;
    }

    private static void setFile(ZKClientConfig config, String name, Path file) {
        if (file != null) {
            config.setProperty(name, file.toString());
        }
    }
}
