package io.quartzgw.leadership;

import java.util.Locale;

/** Why a leader gave up its term. */
enum StepDownReason {
    /** The lease of the leader record has ended. */
    LEASE_EXPIRED,
    /** The term key in the state store has a higher term. */
    HIGHER_TERM_STORED,
    /** A message of an agent or a peer showed a higher term. */
    HIGHER_TERM_OBSERVED,
    /** This controller resigned, since its agents reach another controller but not this one. */
    RESIGNED;

    String logValue() {
        return name().toLowerCase(Locale.ROOT);
    }
}
