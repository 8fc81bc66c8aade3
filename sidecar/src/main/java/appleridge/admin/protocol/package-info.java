/** The operators' line: listens for operators, one call and one reply a connection. */
package appleridge.admin.protocol;
