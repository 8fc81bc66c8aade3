package appleridge.config.operator;

/** A whole number from {@code min} to {@code max}; 2.0 is rejected. */
record IntegerKind(int min, int max) implements ValueKind<Integer> {
    @Override
    public Integer read(SourceValue source) {
        if (!source.node().isIntegralNumber()) {
            source.reject("is not a whole number");
            return null;
        }
        if (!source.node().canConvertToInt()
                || source.node().intValue() < min
                || source.node().intValue() > max) {
            source.reject("is out of range: from " + min + " to " + max);
            return null;
        }
        return source.node().intValue();
    }

    @Override
    public String format(Integer value) {
        return value.toString();
    }
}
