package appleridge.config.operator;

/** A number within bounds; {@code nan} counts as out of range. */
record FractionKind(double min, double max) implements ValueKind<Double> {
    @Override
    public Double read(SourceValue source) {
        if (!source.node().isNumber()) {
            source.reject("is not a number");
            return null;
        }
        double value = source.node().doubleValue();
        if (!(value >= min && value <= max)) {
            source.reject("is out of range: from " + format(min) + " to " + format(max));
            return null;
        }
        return value;
    }

    @Override
    public String format(Double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf(value.longValue())
                : value.toString();
    }
}
