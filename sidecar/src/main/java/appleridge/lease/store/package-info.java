/**
 * Where leases are kept: the record and the queue of each in ZooKeeper, and the clock that counts
 * while a process is stopped or a machine suspended.
 */
package appleridge.lease.store;
