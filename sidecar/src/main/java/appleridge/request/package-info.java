/**
 * A request's life: attempts, outcomes, windows and one final answer; knows no protocol, socket or
 * clock.
 */
package appleridge.request;
