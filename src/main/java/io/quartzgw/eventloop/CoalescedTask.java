package io.quartzgw.eventloop;

/** A task that is scheduled at most once at a time. Further requests to schedule it have no effect until it runs. */
public final class CoalescedTask {
    private final EventLoop eventLoop;
    private final Runnable task;
    private boolean scheduled;

    public CoalescedTask(EventLoop eventLoop, Runnable task) {
        this.eventLoop = eventLoop;
        this.task = task;
    }

    /** Schedules the task after a delay unless it is already scheduled. */
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
