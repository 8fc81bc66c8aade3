/**
 * What operators may ask of a running sidecar: its status and metrics, and maintenance directives,
 * which are applied to discovery's updates. Pure.
 */
package appleridge.admin;
