package appleridge.config.operator;

/** A number within bounds; that it is none ({@code nan}) counts as out of them. */
record FractionKind(double min, double max) implements ValueKind<Double> {
    @Override
    public Double read(SourceValue cell) {
        if (!cell.node().isNumber()) {
            cell.reject("is not a number");
            return null;
        }
        double value = cell.node().doubleValue();
        if (!(value >= min && value <= max)) {
            cell.reject("is out of range: from " + show(min) + " to " + show(max));
            return null;
        }
        return value;
    }

    @Override
    public String show(Double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf(value.longValue())
                : value.toString();
    }
}
