package appleridge.config.operator;

/** {@code true} or {@code false}. */
record BooleanKind() implements ValueKind<Boolean> {
    @Override
    public Boolean read(SourceValue source) {
        if (!source.node().isBoolean()) {
            source.reject("is neither true nor false");
            return null;
        }
        return source.node().booleanValue();
    }

    @Override
    public String format(Boolean value) {
        return value.toString();
    }
}
