/** What operators ask of a running sidecar, and what of their word is laid over the list; pure. */
package appleridge.admin;
