/** The front of the operators' calls: one line a connection. */
package appleridge.admin.protocol;
