/**
 * The command {@code task}: runs an operator's command on one machine of the fleet, under a lease.
 */
package appleridge.lease.task;
