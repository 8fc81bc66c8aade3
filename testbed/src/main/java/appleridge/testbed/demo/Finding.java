package appleridge.testbed.demo;

import java.util.List;

/**
 * The result of checking one rule.
 *
 * @param rule the rule, as a sentence
 * @param seen summary of what was checked
 * @param broken a description of each violation; empty if the rule was kept
 */
record Finding(String rule, String seen, List<String> broken) {
    boolean kept() {
        return broken.isEmpty();
    }
}
