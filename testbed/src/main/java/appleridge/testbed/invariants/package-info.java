/** Watches a simulated day from outside and says which rule broke, and when. */
package appleridge.testbed.invariants;
