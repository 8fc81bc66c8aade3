/**
 * Hot restart: what several processes that are one sidecar may use each, and what they publish to
 * one another. Pure.
 */
package appleridge.hotrestart;
