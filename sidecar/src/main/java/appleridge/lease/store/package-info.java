/**
 * The storage of leases, with a record and a waiter queue for each in ZooKeeper, and the clock that
 * keeps counting while a process is stopped or a machine is suspended.
 */
package appleridge.lease.store;
