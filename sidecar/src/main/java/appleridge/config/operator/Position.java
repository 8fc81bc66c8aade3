package appleridge.config.operator;

/**
 * A position in a file.
 *
 * @param line counted from 1; 0 if the position is unknown
 * @param column counted in characters from 1; 0 if it is unknown
 */
record Position(int line, int column) {
    static final Position UNKNOWN = new Position(0, 0);
}
