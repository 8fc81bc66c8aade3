/**
 * State files in a folder that all processes of a sidecar share, by which they know of each other.
 * The form of the files is read by other versions and stays as it is.
 */
package appleridge.hotrestart.file;
