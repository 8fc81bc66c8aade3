/**
 * Leases on trial: a checker of all orders of events, and real processes that hold in turn under
 * faults.
 */
package appleridge.testbed.lease;
