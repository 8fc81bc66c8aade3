/**
 * State files through which the processes of a sidecar exchange their state, in a folder that they
 * share. Other versions read these files, so the format must not change.
 */
package appleridge.hotrestart.file;
