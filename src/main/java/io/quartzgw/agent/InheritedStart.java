package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import io.quartzgw.scheduling.Machine;

/** A start that a direct call of a former leader may still carry to a machine. */
record InheritedStart(Machine machine, Attempt attempt) {

    /** Returns the newer of two starts of one task. */
    static InheritedStart newer(InheritedStart one, InheritedStart other) {
        return one.attempt.number() > other.attempt.number() ? one : other;
    }
}
