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
 * Takes what ZooKeeper's client logs, which it does through SLF4J: warnings and errors alone, each
 * sort once in some minutes, on one line with what caused it. Danger: the client logs each of its
 * attempts to connect with a trace, about one a second for as long as an outage lasts. Loaded by
 * SLF4J, by its name.
 */
public final class Slf4jBridge implements SLF4JServiceProvider {
    private static final System.Logger LOG = System.getLogger("appleridge.zookeeper");
    private static final int MOST_SORTS = 32;
    private static final int LONGEST = 400;

    /** Sorts of lines that were logged already. */
    private static final Set<String> TOLD = ConcurrentHashMap.newKeySet();

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();
    private final ILoggerFactory loggers = Line::new;

    /** From now on each sort of line is logged once more. */
    static void again() {
        TOLD.clear();
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
            Throwable first = cause;
            while (first != null && first.getCause() != null) {
                first = first.getCause();
            }
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
            String sort = pattern + (first == null ? "" : first.getClass().getName());
            if (TOLD.size() >= MOST_SORTS || !TOLD.add(sort)) {
                return;
            }
            String text =
                    (MessageFormatter.basicArrayFormat(pattern, arguments)
                                    + (first == null ? "" : " (" + first + ")"))
                            .replaceAll("\\s+", " ");
            LOG.log(
                    level == Level.ERROR ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                    "ZooKeeper's client: " + text.substring(0, Math.min(LONGEST, text.length())));
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
