package appleridge.testbed.simulation;

/** Whether an order server's load reports are correct, and if not, what is wrong with them. */
enum LoadReportQuality {
    /** Correct. */
    GOOD,
    /** Several seconds old. */
    LATE,
    /** Readable, with wrong values. */
    WRONG,
    /** Values that are no numbers or out of range. */
    UNREADABLE,
    /** No load report is sent. */
    ABSENT
}
