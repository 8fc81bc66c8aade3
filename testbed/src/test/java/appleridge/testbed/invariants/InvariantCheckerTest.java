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
    private static final long MS = CheckerFixture.MS;

    @Test
    void dueChecksRunBeforeLaterEvents() {
        CheckerFixture fixture = new CheckerFixture();
        fixture.at(0).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.now = CheckerFixture.S;
        fixture.checker.clientGaveUp("r");
        assertEquals(List.of(Rule.LATE), fixture.rules());
        assertEquals(485 * MS, fixture.checker.violations().get(0).at());
    }

    @Test
    void violationIsReportedOncePerRuleAndSubject() {
        CheckerFixture fixture = new CheckerFixture();
        fixture.at(CheckerFixture.S).accepted("r", CheckerFixture.RAISE_INVOICE, 400 * MS);
        fixture.received("a-1", "r").received("a-1", "r").received("a-1", "r");
        assertEquals(List.of(Rule.DUPLICATE), fixture.rules());
        assertTrue(
                fixture.checker
                        .violations()
                        .get(0)
                        .toString()
                        .startsWith("DUPLICATE at 1.000000000s r: "));
    }

    @Test
    void eventsOfUnknownRequestsAreIgnored() {
        CheckerFixture fixture = new CheckerFixture();
        fixture.checker.requestSent("x");
        fixture.received("a-1", "x").served("a-1", "x").answered("x", 503, "");
        fixture.checker.serverDidNotRun("a-1", 1, "x");
        fixture.checker.answerBroken("x", "closed", true);
        fixture.checker.clientGaveUp("x");
        fixture.checker.faultTriggered("kill", "a-1", "x");
        fixture.checker.moduleAccepted(CheckerFixture.SIDECAR, 1, 1, 99);
        fixture.checker.moduleRefused(CheckerFixture.SIDECAR, 1, 1);
        fixture.after(CheckerFixture.S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void endedRequestIsNotCheckedAgain() {
        CheckerFixture fixture = new CheckerFixture();
        fixture.at(0)
                .accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS)
                .received("a-1", "r")
                .at(300 * MS);
        fixture.checker.clientGaveUp("r");
        fixture.at(500 * MS);
        fixture.checker.answerBroken("r", "closed", false);
        fixture.checker.requestSent("r");
        fixture.after(CheckerFixture.S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void fanOutForwardsEveryEventToEachListener() throws ReflectiveOperationException {
        List<String> received = new ArrayList<>();
        InvocationHandler handler =
                (proxy, method, arguments) -> {
                    received.add(method.getName());
                    return null;
                };
        DayListener listener =
                (DayListener)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {DayListener.class},
                                handler);
        DayListenerFanOut fanOut = new DayListenerFanOut(List.of(listener, listener));
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
            received.clear();
            each.invoke(fanOut, arguments);
            assertEquals(List.of(each.getName(), each.getName()), received);
        }
    }
}
