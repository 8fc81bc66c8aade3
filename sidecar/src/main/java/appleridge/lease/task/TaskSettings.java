package appleridge.lease.task;

import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.LeaseParameters;

/**
 * What the operator's file says of tasks.
 *
 * @param store where leases are kept, with the path of all as its root
 * @param parameters of every lease
 * @param killAfterNanos how long a command has from SIGTERM to SIGKILL
 * @param killReserveNanos set aside beside it for ending all processes that a command has started
 */
public record TaskSettings(
        ZooKeeperSettings store,
        LeaseParameters parameters,
        long killAfterNanos,
        long killReserveNanos) {
    /** How long before the lease's end the command is told to end. */
    long terminationNanos() {
        return killAfterNanos + killReserveNanos;
    }
}
