/**
 * Parses and validates the configuration that the platform gives a sidecar at its start. Only this
 * package maps the platform's keys and words to the product's terms; {@link
 * appleridge.config.PolicySettingsParser} has the table. Values are immutable and may be used on
 * any thread. A value that is missing or not allowed raises a {@link
 * appleridge.config.ConfigException}.
 */
package appleridge.config;
