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
 * Takes what ZooKeeper's client logs through SLF4J: warnings and errors alone, each kind once in
 * some minutes, on one line with its first cause. The client logs each attempt to connect with a
 * stack trace, about one a second for as long as an outage lasts. Loaded by SLF4J, by its name.
 */
public final class Slf4jBridge implements SLF4JServiceProvider {
    private static final System.Logger LOG = System.getLogger("appleridge.zookeeper");
    private static final int MAX_KINDS = 32;
    private static final int MAX_CHARS = 400;

    /** Kinds of lines that were logged already: pattern and class of the first cause. */
    private static final Set<String> LOGGED = ConcurrentHashMap.newKeySet();

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();
    private final ILoggerFactory loggers = Line::new;

    /** From now on each kind of line is logged once more. */
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

    private static final class Line extends LegacyAbstractLogger {
        private static final long serialVersionUID = 1;

        Line(String loggerName) {
            name = loggerName;
        }

        @Override
        protected void handleNormalizedLoggingCall(
                Level level, Marker marker, String pattern, Object[] arguments, Throwable cause) {
            Throwable first = firstCause(cause);
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
            String kind = pattern + (first == null ? "" : first.getClass().getName());
            if (LOGGED.size() >= MAX_KINDS || !LOGGED.add(kind)) {
                return;
            }
            String text =
                    (MessageFormatter.basicArrayFormat(pattern, arguments)
                                    + (first == null ? "" : " (" + first + ")"))
                            .replaceAll("\\s+", " ");
            LOG.log(
                    level == Level.ERROR ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                    "ZooKeeper's client: " + text.substring(0, Math.min(MAX_CHARS, text.length())));
        }

        private static Throwable firstCause(Throwable cause) {
            Throwable first = cause;
            while (first != null && first.getCause() != null) {
                first = first.getCause();
            }
            return first;
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
