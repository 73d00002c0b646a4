package io.quartzgw.leadership;

import java.util.Locale;

/** The reason why a leader stepped down. */
enum StepDownReason {
    /** The lease of the leader record has expired. */
    LEASE_EXPIRED,
    /** The term key in the state service contains a higher term. */
    HIGHER_TERM_STORED,
    /** A message of an agent or a peer contained a higher term. */
    HIGHER_TERM_OBSERVED,
    /** This controller resigned because its agents can reach another controller but not this one. */
    RESIGNED;

    String logValue() {
        return name().toLowerCase(Locale.ROOT);
    }
}
