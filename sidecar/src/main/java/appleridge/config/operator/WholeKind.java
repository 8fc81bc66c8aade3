package appleridge.config.operator;

/** A whole number; 2.0 is none. */
record WholeKind(int min, int max) implements ValueKind<Integer> {
    @Override
    public Integer read(SourceValue cell) {
        if (!cell.node().isIntegralNumber()) {
            cell.reject("is not a whole number");
            return null;
        }
        if (!cell.node().canConvertToInt()
                || cell.node().intValue() < min
                || cell.node().intValue() > max) {
            cell.reject("is out of range: from " + min + " to " + max);
            return null;
        }
        return cell.node().intValue();
    }

    @Override
    public String show(Integer value) {
        return value.toString();
    }
}
