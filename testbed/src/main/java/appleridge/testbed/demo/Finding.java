package appleridge.testbed.demo;

import java.util.List;

/**
 * What is to be said of one rule.
 *
 * @param seen what was looked at, in words
 * @param broken each time that it was broken, in words
 */
record Finding(String rule, String seen, List<String> broken) {
    boolean kept() {
        return broken.isEmpty();
    }
}
