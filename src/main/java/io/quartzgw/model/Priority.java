package io.quartzgw.model;

/** Priorities of jobs, most important first. */
public enum Priority {
    /** Preempts all others. */
    PRODUCTION,
    /** Preempts normal and low priority. */
    HIGH,
    /** Preempts low priority, but only while the cloud offers no more machines. */
    NORMAL,
    /** Preempts nothing. */
    LOW;

    /** Whether this priority is more important than the other one. */
    public boolean above(Priority other) {
        return compareTo(other) < 0;
    }
}
