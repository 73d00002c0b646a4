package io.quartzgw.agent;

import io.quartzgw.scheduling.Allocation;

/** One try at running a task. The members of a gang share a number, so the task belongs to the name. */
public record Attempt(String job, int index, long number) {

    static Attempt of(Allocation booking) {
        return new Attempt(booking.job().id(), booking.index(), booking.attempt());
    }

    public String task() {
        return job + "/" + index;
    }
}
