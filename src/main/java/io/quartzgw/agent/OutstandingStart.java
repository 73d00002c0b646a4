package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Machine;

/** A start that may still reach a machine in a direct call of this leader or a previous one. */
record OutstandingStart(Machine machine, Attempt attempt) {

    /** Returns the start with the higher attempt number of two starts of the same task. */
    static OutstandingStart newer(OutstandingStart first, OutstandingStart second) {
        return first.attempt.number() > second.attempt.number() ? first : second;
    }
}
