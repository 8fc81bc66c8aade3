/** The admin protocol over TCP: one command and one reply per connection. */
package appleridge.admin.protocol;
