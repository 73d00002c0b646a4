package io.quartzgw.eventloop;

/** A task that waits for its time once: what is asked for while it waits is done along with it. */
public final class CoalescedTask {
    private final EventLoop kernel;
    private final Runnable task;
    private boolean scheduled;

    public CoalescedTask(EventLoop kernel, Runnable task) {
        this.kernel = kernel;
        this.task = task;
    }

    /** Has the task run after a delay, unless it is waiting already. */
    public void schedule(long delayMs) {
        if (!scheduled) {
            scheduled = true;
            kernel.after(delayMs, () -> {
                scheduled = false;
                task.run();
            });
        }
    }
}
