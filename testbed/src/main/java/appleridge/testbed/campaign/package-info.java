/** Plays days: the product itself on the simulated network, in the world, before the judge. */
package appleridge.testbed.campaign;
