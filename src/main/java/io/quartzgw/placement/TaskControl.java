package io.quartzgw.placement;

/** Has bookings started and stopped on their machines. */
public interface TaskControl {
    void start(Booking booking);

    void stop(Booking booking, double graceS, StopReason reason);
}
