package appleridge.testbed.simulation;

import java.util.SortedMap;

/**
 * One fault of a plan.
 *
 * @param who a sidecar, a machine or a site; null where the kind needs none, or a trap is to take
 *     the request's
 * @param style null where the kind has none
 * @param values a figure for each that the kind has
 */
public record Fault(
        FaultTrigger trigger,
        FaultKind kind,
        String who,
        String style,
        SortedMap<FaultParameter, Long> values) {
    long value(FaultParameter param) {
        return values.get(param);
    }

    /** As a scenario has it. */
    public String text() {
        StringBuilder text = new StringBuilder(80);
        if (trigger.waitsForRequest()) {
            text.append("on ")
                    .append(FaultKind.word(trigger.state()))
                    .append(' ')
                    .append(trigger.nth());
            if (trigger.at() > 0) {
                text.append(" after ").append(Unit.TIME.text(trigger.at()));
            }
        } else {
            text.append("at ").append(Unit.TIME.text(trigger.at()));
        }
        text.append(' ').append(kind.word());
        if (style != null) {
            text.append(" style=").append(style);
        }
        if (who != null) {
            text.append(" who=").append(who);
        }
        values.forEach(
                (param, value) ->
                        text.append(' ')
                                .append(param.word())
                                .append('=')
                                .append(param.text(value)));
        return text.toString();
    }
}
