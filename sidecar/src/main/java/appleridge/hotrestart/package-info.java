/**
 * Hot restart: the resource share of each of several processes that run as one sidecar, and the
 * state that they publish to one another. Does no I/O.
 */
package appleridge.hotrestart;
