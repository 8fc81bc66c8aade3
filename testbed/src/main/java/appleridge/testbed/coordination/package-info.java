/**
 * A stand-in for a coordination service, a relay in front of it, order servers that register with
 * it, and measurements of a sidecar that discovers them.
 */
package appleridge.testbed.coordination;
