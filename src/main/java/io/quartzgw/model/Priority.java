package io.quartzgw.model;

/** Priorities, most important first. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    public boolean above(Priority other) {
        return ordinal() < other.ordinal();
    }
}
