/**
 * The admin commands of a running sidecar: status, metrics, and maintenance directives, which are
 * applied to the updates of service discovery. Performs no I/O.
 */
package appleridge.admin;
