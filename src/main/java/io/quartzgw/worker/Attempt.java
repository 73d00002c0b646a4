package io.quartzgw.worker;

import io.quartzgw.placement.Booking;

/** One try at running a task. The members of a gang share a number, so the task belongs to the name. */
public record Attempt(String job, int index, long number) {

    static Attempt of(Booking booking) {
        return new Attempt(booking.job().id(), booking.index(), booking.attempt());
    }

    public String task() {
        return job + "/" + index;
    }
}
