package appleridge.config.operator;

/** Yes or no. */
record FlagKind() implements ValueKind<Boolean> {
    @Override
    public Boolean read(SourceValue cell) {
        if (!cell.node().isBoolean()) {
            cell.reject("is neither true nor false");
            return null;
        }
        return cell.node().booleanValue();
    }

    @Override
    public String show(Boolean value) {
        return value.toString();
    }
}
