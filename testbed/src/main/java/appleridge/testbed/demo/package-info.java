/**
 * {@code testbed.jar demo}: a small site on this machine, half a minute of traffic and faults, and
 * a verdict.
 */
package appleridge.testbed.demo;
