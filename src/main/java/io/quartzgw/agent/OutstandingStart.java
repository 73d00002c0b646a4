package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Machine;

/** A start that a direct call, of this leader or of a former one, may still carry to a machine. */
record OutstandingStart(Machine machine, Attempt attempt) {

    /** Returns the newer of two starts of one task. */
    static OutstandingStart newer(OutstandingStart one, OutstandingStart other) {
        return one.attempt.number() > other.attempt.number() ? one : other;
    }
}
