package appleridge.testbed.campaign;

import appleridge.request.EventLog;
import appleridge.testbed.simnet.Simulation;
import java.util.List;

/** A process's log in the simulation: lines go into the trace, failures are kept for the judge. */
record SimLog(Simulation simulation, String process, List<String> failures) implements EventLog {
    private static final int LINE = 200;
    private static final int MOST = 20;

    @Override
    public void info(String line) {
        simulation.note(LINE, process + ": " + line);
    }

    @Override
    public void warning(String line) {
        info(line);
    }

    @Override
    public void failure(String what, Throwable cause) {
        if (failures.size() < MOST) {
            failures.add(cause == null ? what : what + ": " + cause + at(cause));
        }
        info(what + ": " + cause);
    }

    private static String at(Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        return trace.length == 0 ? "" : " at " + trace[0];
    }
}
