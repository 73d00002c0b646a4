package io.quartzgw.scheduling;

/** Has bookings started and stopped on their machines. */
public interface TaskLauncher {
    void start(Allocation booking);

    void stop(Allocation booking, double graceS, StopReason reason);
}
