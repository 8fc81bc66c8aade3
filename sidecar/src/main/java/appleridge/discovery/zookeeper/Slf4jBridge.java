package appleridge.discovery.zookeeper;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J provider for the log of ZooKeeper's client: logs only warnings and errors, each kind once
 * in a few minutes, on one line with its root cause. The client logs each failed connection attempt
 * with a stack trace, about once a second during an outage. Loaded by SLF4J by its class name.
 */
public final class Slf4jBridge implements SLF4JServiceProvider {
    private static final System.Logger LOG = System.getLogger("appleridge.zookeeper");
    private static final int MAX_KINDS = 32;
    private static final int MAX_CHARS = 400;

    /** Kinds of lines already logged: message pattern and class of the root cause. */
    private static final Set<String> LOGGED = ConcurrentHashMap.newKeySet();

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();
    private final ILoggerFactory loggers = ClientLogger::new;

    /** Allows each kind of line to be logged once more. */
    static void allowRepeats() {
        LOGGED.clear();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return loggers;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return context;
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0";
    }

    @Override
    public void initialize() {}

    private static final class ClientLogger extends LegacyAbstractLogger {
        private static final long serialVersionUID = 1;

        ClientLogger(String loggerName) {
            name = loggerName;
        }

        @Override
        protected void handleNormalizedLoggingCall(
                Level level, Marker marker, String pattern, Object[] arguments, Throwable cause) {
            Throwable root = rootCause(cause);
            if (!name.startsWith("org.apache.zookeeper")) {
                System.getLogger(name)
                        .log(
                                level == Level.ERROR
                                        ? System.Logger.Level.ERROR
                                        : System.Logger.Level.WARNING,
                                MessageFormatter.basicArrayFormat(pattern, arguments),
                                cause);
                return;
            }
            String kind = pattern + (root == null ? "" : root.getClass().getName());
            if (LOGGED.size() >= MAX_KINDS || !LOGGED.add(kind)) {
                return;
            }
            String text =
                    (MessageFormatter.basicArrayFormat(pattern, arguments)
                                    + (root == null ? "" : " (" + root + ")"))
                            .replaceAll("\\s+", " ");
            LOG.log(
                    level == Level.ERROR ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                    "ZooKeeper's client: " + text.substring(0, Math.min(MAX_CHARS, text.length())));
        }

        private static Throwable rootCause(Throwable cause) {
            Throwable root = cause;
            while (root != null && root.getCause() != null) {
                root = root.getCause();
            }
            return root;
        }

        @Override
        protected String getFullyQualifiedCallerName() {
            return Logger.class.getName();
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }
    }
}
