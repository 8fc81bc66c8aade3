package appleridge.config.operator;

/** A number within bounds; that it is none ({@code nan}) counts as out of them. */
record FractionKind(double least, double most) implements ValueKind<Double> {
    @Override
    public Double read(SourceValue cell) {
        if (!cell.node().isNumber()) {
            cell.wrong("is not a number");
            return null;
        }
        double value = cell.node().doubleValue();
        if (!(value >= least && value <= most)) {
            cell.wrong("is out of range: from " + show(least) + " to " + show(most));
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
