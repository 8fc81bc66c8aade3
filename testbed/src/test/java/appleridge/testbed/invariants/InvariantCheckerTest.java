package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class InvariantCheckerTest {
    private static final long MS = Scene.MS;

    @Test
    void whatIsDueIsLookedAtBeforeWhatHappensLater() {
        Scene scene = new Scene();
        scene.at(0).taken("r", Scene.STOCK_CHECK, 400 * MS);
        scene.now = Scene.S;
        scene.judge.clientGaveUp("r");
        assertEquals(List.of(Rule.LATE), scene.rules());
        assertEquals(485 * MS, scene.judge.violations().get(0).at());
    }

    @Test
    void aBrokenRuleIsSaidOncePerSubject() {
        Scene scene = new Scene();
        scene.at(Scene.S).taken("r", Scene.RAISE_INVOICE, 400 * MS);
        scene.arrived("a-1", "r").arrived("a-1", "r").arrived("a-1", "r");
        assertEquals(List.of(Rule.DUPLICATE), scene.rules());
        assertTrue(
                scene.judge
                        .violations()
                        .get(0)
                        .toString()
                        .startsWith("DUPLICATE at 1.000000000s r: "));
    }

    @Test
    void whatNoUsualClientHasAskedIsPassedOver() {
        Scene scene = new Scene();
        scene.judge.requestSent("x");
        scene.arrived("a-1", "x").served("a-1", "x").answered("x", 503, "");
        scene.judge.serverDidNotRun("a-1", 1, "x");
        scene.judge.answerBroken("x", "closed", true);
        scene.judge.clientGaveUp("x");
        scene.judge.faultStruck("kill", "a-1", "x");
        scene.judge.moduleAccepted(Scene.SIDE, 1, 1, 99);
        scene.judge.moduleRefused(Scene.SIDE, 1, 1);
        scene.after(Scene.S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whatIsOverIsJudgedNoMore() {
        Scene scene = new Scene();
        scene.at(0).taken("r", Scene.STOCK_CHECK, 400 * MS).arrived("a-1", "r").at(300 * MS);
        scene.judge.clientGaveUp("r");
        scene.at(500 * MS);
        scene.judge.answerBroken("r", "closed", false);
        scene.judge.requestSent("r");
        scene.after(Scene.S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void allThatIsToldIsPassedOn() throws ReflectiveOperationException {
        List<String> heard = new ArrayList<>();
        InvocationHandler ear =
                (proxy, method, arguments) -> {
                    heard.add(method.getName());
                    return null;
                };
        DayListener listener =
                (DayListener)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {DayListener.class},
                                ear);
        DayListenerFanOut fan = new DayListenerFanOut(List.of(listener, listener));
        for (Method each : DayListener.class.getMethods()) {
            Object[] arguments = new Object[each.getParameterCount()];
            for (int i = 0; i < arguments.length; i++) {
                Class<?> type = each.getParameterTypes()[i];
                arguments[i] =
                        type == long.class
                                ? (Object) 0L
                                : type == int.class
                                        ? (Object) 0
                                        : type == boolean.class ? (Object) false : null;
            }
            heard.clear();
            each.invoke(fan, arguments);
            assertEquals(List.of(each.getName(), each.getName()), heard);
        }
    }
}
