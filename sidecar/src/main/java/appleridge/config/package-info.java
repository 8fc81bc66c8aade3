/**
 * The configuration that the platform gives a sidecar at its start, validated. The platform's keys
 * and words are mapped to the product's terms here and nowhere else: {@link
 * appleridge.config.PolicySettingsParser} holds the table. Values are immutable; all may be used on
 * any thread. What is missing or not allowed is reported by a {@link
 * appleridge.config.ConfigException}.
 */
package appleridge.config;
