package appleridge.request;

import appleridge.loadbalancing.Outcome;

/** One attempt of a request; its numbers count up from 0 within the request. */
final class Attempt {
    final PendingRequest call;
    final int number;
    final long upstream;
    final long sentAt;
    final SendDeadlines window;
    UpstreamTransport.AttemptHandle sending;
    Scheduler.ScheduledTask timer;
    boolean done;
    private Outcome outcome;

    Attempt(PendingRequest call, int number, long upstream, long sentAt, SendDeadlines window) {
        this.call = call;
        this.number = number;
        this.upstream = upstream;
        this.sentAt = sentAt;
        this.window = window;
    }

    void end(Outcome how) {
        done = true;
        outcome = how;
        if (timer != null) {
            timer.cancel();
        }
    }

    boolean mayHaveRun() {
        return done ? !outcome.provesNotExecuted() : sending != null && sending.isFullyWritten();
    }
}
