package appleridge.config.operator;

/** A whole number; 2.0 is none. */
record WholeKind(int least, int most) implements ValueKind<Integer> {
    @Override
    public Integer read(SourceValue cell) {
        if (!cell.node().isIntegralNumber()) {
            cell.wrong("is not a whole number");
            return null;
        }
        if (!cell.node().canConvertToInt()
                || cell.node().intValue() < least
                || cell.node().intValue() > most) {
            cell.wrong("is out of range: from " + least + " to " + most);
            return null;
        }
        return cell.node().intValue();
    }

    @Override
    public String show(Integer value) {
        return value.toString();
    }
}
