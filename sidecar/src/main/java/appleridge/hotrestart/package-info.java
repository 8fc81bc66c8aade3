/**
 * Two processes that count as one sidecar: what each may use, and what they tell one another; pure.
 */
package appleridge.hotrestart;
