package appleridge.request;

import appleridge.loadbalancing.PolicySettings;
import java.util.function.Consumer;

/**
 * Lets nothing be sent for a client of whom nobody knows that it is still connected.
 *
 * <p>Invariant: an attempt begins only while its client is {@link ClientPresence#PRESENT}. A
 * request that cannot show it waits while its time runs, and is then rejected: it was not executed.
 * Event loop only.
 */
final class ClientPresenceGate {
    private final Scheduler scheduler;
    private final PolicySettings settings;
    private final RequestLog log;
    private final Consumer<PendingRequest> reject;

    /**
     * Creates a gate.
     *
     * @param reject ends a request whose client is still not known to be there when its time is up
     */
    ClientPresenceGate(
            Scheduler scheduler,
            PolicySettings settings,
            RequestLog log,
            Consumer<PendingRequest> reject) {
        this.scheduler = scheduler;
        this.settings = settings;
        this.log = log;
        this.reject = reject;
    }

    /**
     * Runs a request's submission to the policy once its client is known to be there, so that one
     * that waits for this takes up no host's capacity.
     */
    void submitWhenPresent(PendingRequest request, Runnable submission) {
        if (!request.isOpen()) {
            return;
        }
        switch (request.client().clientPresence()) {
            case PRESENT -> {
                request.clientWait().end();
                submission.run();
            }
            case UNKNOWN -> await(request, () -> submitWhenPresent(request, submission));
            default -> {
                // The disconnect has ended the request.
            }
        }
    }

    /**
     * Whether an attempt may begin now, right before its first byte.
     *
     * @param resume continues the attempt if it may begin later
     */
    boolean mayBegin(Attempt attempt, Runnable resume) {
        PendingRequest request = attempt.request();
        ClientPresence presence = request.client().clientPresence();
        if (presence == ClientPresence.PRESENT) {
            request.clientWait().end();
            log.begun(attempt);
            return true;
        }
        if (presence == ClientPresence.UNKNOWN) {
            log.waiting(attempt);
            await(request, resume);
        } else {
            request.clientWait().end();
        }
        return false;
    }

    private void await(PendingRequest request, Runnable resume) {
        RequestWait wait = request.clientWait();
        if (!wait.isActive()) {
            log.awaitingClient(request);
            wait.begin(
                    scheduler.scheduleAt(
                            request.deadlineNanos() - settings.clockGranularityNanos(),
                            () -> rejectIfAwaiting(request)));
        }
        request.client().whenMoreIsKnownOfClient(wait.resumption(resume));
    }

    private void rejectIfAwaiting(PendingRequest request) {
        if (request.isOpen() && request.clientWait().isActive()) {
            reject.accept(request);
        }
    }
}
