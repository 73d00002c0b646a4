package io.quartzgw.loop;

/** A task that waits for its time once: what is asked for while it waits is done along with it. */
public final class CoalescedTask {
    private final Kernel kernel;
    private final Runnable task;
    private boolean waiting;

    public CoalescedTask(Kernel kernel, Runnable task) {
        this.kernel = kernel;
        this.task = task;
    }

    /** Has the task run after a delay, unless it is waiting already. */
    public void after(long delayMs) {
        if (!waiting) {
            waiting = true;
            kernel.after(delayMs, () -> {
                waiting = false;
                task.run();
            });
        }
    }
}
