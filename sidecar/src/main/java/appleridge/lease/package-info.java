/**
 * Leases: which process of the fleet may operate on a shared resource, until when, and with which
 * fencing token; also counted permits and shares of a budget. Pure: events with their times go in,
 * requests to the store come out, and nothing here reads a clock or starts a thread.
 */
package appleridge.lease;
