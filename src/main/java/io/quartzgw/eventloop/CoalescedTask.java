package io.quartzgw.eventloop;

/** A task that is scheduled at most once at a time: requests that come while it waits are served by the same run. */
public final class CoalescedTask {
    private final EventLoop eventLoop;
    private final Runnable task;
    private boolean scheduled;

    public CoalescedTask(EventLoop eventLoop, Runnable task) {
        this.eventLoop = eventLoop;
        this.task = task;
    }

    /** Schedules the task after a delay, unless it is scheduled already. */
    public void schedule(long delayMs) {
        if (!scheduled) {
            scheduled = true;
            eventLoop.after(delayMs, () -> {
                scheduled = false;
                task.run();
            });
        }
    }
}
