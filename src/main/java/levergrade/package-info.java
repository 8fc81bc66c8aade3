/** Decisions of a client-side load balancer: {@link levergrade.Balancer} is the interface. */
package levergrade;
