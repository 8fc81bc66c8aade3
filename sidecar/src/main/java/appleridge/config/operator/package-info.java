/** Reads and strictly validates the operator's own file, and reports its settings and problems. */
package appleridge.config.operator;
