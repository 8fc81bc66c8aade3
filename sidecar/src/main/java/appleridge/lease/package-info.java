/**
 * Leases: they decide which process of the fleet may operate on a shared resource, until when, and
 * with which fencing token. Semaphores and shares of a budget are built on them. The package is
 * pure: events with their times go in, requests to the store come out, and nothing here reads a
 * clock or starts a thread.
 */
package appleridge.lease;
