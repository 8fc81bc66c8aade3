/**
 * Tests of the leases: a model checker that explores every order of events, and real processes that
 * take over from one another under faults.
 */
package appleridge.testbed.lease;
