package appleridge.testbed.mutation;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.List;

/**
 * Plays days through a class of a given loader, which has the static methods of {@link PlantedDay}.
 * Nothing but numbers and texts crosses the border between loaders.
 */
final class Days {
    /** In place of a rule's name where a day couldn't be played to its end. */
    static final String THREW = "threw";

    private final Method ofSeed;
    private final Method ofPlan;
    private final Method planOf;

    Days(ClassLoader loader, String className) {
        try {
            Class<?> type = loader.loadClass(className);
            ofSeed = method(type, "ofSeed", long.class);
            ofPlan = method(type, "ofPlan", String.class);
            planOf = method(type, "planOf", long.class);
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException("no days in " + className, e);
        }
    }

    private static Method method(Class<?> type, String name, Class<?> parameter)
            throws NoSuchMethodException {
        Method method = type.getDeclaredMethod(name, parameter);
        method.setAccessible(true);
        return method;
    }

    /** A line for each broken rule of the seed's day, its name ahead; empty if none broke. */
    String ofSeed(long seed) {
        return ask(ofSeed, seed);
    }

    /** The same of a scenario; one that can't be read has thrown. */
    String ofPlan(String text) {
        return ask(ofPlan, text);
    }

    /** The scenario of the seed's day. */
    String planOf(long seed) {
        return ask(planOf, seed);
    }

    private static String ask(Method method, Object what) {
        try {
            return (String) method.invoke(null, what);
        } catch (InvocationTargetException e) {
            return THREW + ": " + e.getCause();
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The names of the rules that are said to be broken, in the order of finding. */
    static List<String> rules(String said) {
        return said.lines().map(Days::rule).distinct().toList();
    }

    private static String rule(String line) {
        int end = 0;
        while (end < line.length() && line.charAt(end) != ' ' && line.charAt(end) != ':') {
            end++;
        }
        return line.substring(0, end);
    }

    /** What is said of one rule first; empty if nothing is. */
    static String line(String said, String rule) {
        return said.lines().filter(line -> rule(line).equals(rule)).findFirst().orElse("");
    }
}
