/** A stand-in for a coordination service, a relay before it, servers that register, and checks. */
package appleridge.testbed.coordination;
