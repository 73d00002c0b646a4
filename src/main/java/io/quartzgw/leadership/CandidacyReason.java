package io.quartzgw.leadership;

import java.util.Locale;

/** The reason why a controller is or is not a candidate for the leadership. */
enum CandidacyReason {
    /** It is a candidate: there is no leader record, or it names a process that is known to have terminated. */
    VACANT,
    /** It is no candidate because it is the leader. */
    LEADING,
    /** It is no candidate because the leader record names another process, which may still be running. */
    LED,
    /** It is no candidate because it resigned recently. */
    BACKING_OFF;

    String logValue() {
        return name().toLowerCase(Locale.ROOT);
    }
}
