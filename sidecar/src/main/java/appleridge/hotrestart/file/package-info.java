/** Files in the folder that both processes have, by which they know of each other. */
package appleridge.hotrestart.file;
