package appleridge.testbed.simulation;

import java.util.SortedMap;

/**
 * One fault of a plan.
 *
 * @param who name of a sidecar, a machine or a zone; null where the kind needs none, or where a
 *     state trigger uses the one that the request is at
 * @param style the variant; null where the kind has none
 * @param values a value for each parameter of the kind
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

    /** Returns the fault as a line of a scenario file. */
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
