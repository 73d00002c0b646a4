package io.quartzgw.leadership;

import java.util.Locale;

/** Why a controller is a candidate for the leadership, or is none. */
enum CandidacyReason {
    /** Nobody leads, or only a process that has surely ended: it is a candidate. */
    VACANT,
    /** It leads itself. */
    LEADING,
    /** The leader record names another process, which may still run. */
    LED,
    /** It has resigned lately. */
    BACKING_OFF;

    String logValue() {
        return name().toLowerCase(Locale.ROOT);
    }
}
