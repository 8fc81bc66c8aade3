package appleridge.testbed.simulation;

/** How load reports can be of no use. */
enum LoadReportQuality {
    /** As they should be. */
    GOOD,
    /** Some seconds old. */
    LATE,
    /** Figures that are not so. */
    WRONG,
    /** No numbers, or none that make sense. */
    UNREADABLE,
    /** None at all. */
    ABSENT
}
