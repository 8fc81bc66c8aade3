/**
 * Faults planted in the product on purpose, one line wrong each, to show that the judge can see.
 */
package appleridge.testbed.mutation;
