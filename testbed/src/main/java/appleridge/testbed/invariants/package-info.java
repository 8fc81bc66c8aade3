/**
 * Checks the invariants of a simulated day from outside and records which were violated, and when.
 */
package appleridge.testbed.invariants;
