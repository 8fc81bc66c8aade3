package appleridge.request;

import appleridge.loadbalancing.Balancer.Outcome;

/** One attempt of a request; its numbers count up from 0 within the request. */
final class Attempt {
    final Call call;
    final int number;
    final long upstream;
    final long sentAt;
    final Window window;
    Upstreams.Sending sending;
    Timers.Timer timer;
    boolean done;
    private Outcome outcome;

    Attempt(Call call, int number, long upstream, long sentAt, Window window) {
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
        return done ? !outcome.provesNeverRan() : sending != null && sending.committed();
    }
}
