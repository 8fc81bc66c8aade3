package appleridge.lease.task;

import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.lease.LeaseParameters;

/**
 * The settings of tasks in the operator's file.
 *
 * @param store the connection to the lease store, with the path of all leases as its root
 * @param parameters the parameters of every lease
 * @param killAfterNanos the time from SIGTERM to SIGKILL
 * @param killReserveNanos the additional time reserved for ending all processes that a command has
 *     started
 */
public record TaskSettings(
        ZooKeeperSettings store,
        LeaseParameters parameters,
        long killAfterNanos,
        long killReserveNanos) {
    /** How long before the end of the lease the command gets SIGTERM. */
    long terminationNanos() {
        return killAfterNanos + killReserveNanos;
    }
}
