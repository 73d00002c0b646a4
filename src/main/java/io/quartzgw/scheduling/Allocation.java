package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;

/**
 * The assignment of one task attempt to a machine where it runs or may run. It reserves resources of the machine until
 * it is released.
 */
public final class Allocation {

    /** The last phase of the attempt that its agent has reported. */
    public enum Phase {
        /** The task is allocated, but no heartbeat has reported the attempt yet. */
        ASSIGNED,
        /** The agent is fetching the image. */
        FETCHING,
        /** The task is running. */
        RUNNING,
        /** The task is saving a checkpoint before it stops. */
        CHECKPOINTING
    }

    private static final long NOT_LOST = Long.MAX_VALUE;

    private final Job job;
    private final int index;
    private final long attempt;
    private final Machine machine;
    private final long allocatedAt;
    private Phase phase = Phase.ASSIGNED;
    private long runningSince;
    private long lostAt = NOT_LOST;
    private boolean startSent;
    private boolean startWithheld;
    private boolean stopping;
    private double stopGraceS;

    Allocation(Job job, int index, long attempt, Machine machine, long now) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.allocatedAt = now;
    }

    /** The job of the task. */
    public Job job() {
        return job;
    }

    /** The task's index in its job. */
    public int index() {
        return index;
    }

    /** The attempt number, unique across leaders. */
    public long attempt() {
        return attempt;
    }

    /** The machine that the task is allocated to. */
    public Machine machine() {
        return machine;
    }

    /** The resources that the task reserves. */
    public Resources demand() {
        return job.spec().demand();
    }

    /** The task's name, unique across jobs. */
    public String task() {
        return job.task(index);
    }

    /** The last phase that the agent has reported. */
    public Phase phase() {
        return phase;
    }

    /** Whether a heartbeat has reported the attempt. */
    public boolean observed() {
        return phase != Phase.ASSIGNED;
    }

    /** Records the phase that the agent reports for this attempt. */
    public void recordPhase(Phase reported, long now) {
        if (reported == Phase.RUNNING && phase != Phase.RUNNING) {
            runningSince = now;
            machine.cacheImage(job.spec().image(), job.spec().imageGb());
        }
        phase = reported;
        lostAt = NOT_LOST;
        startWithheld = false;
    }

    /** Records that the attempt, or its whole agent, has ended. It may be started again on the machine. */
    public void markLost(long now) {
        phase = Phase.ASSIGNED;
        lostAt = now;
    }

    /** Whether the attempt is recorded as lost and no heartbeat has reported it since. */
    public boolean isLost() {
        return lostAt != NOT_LOST;
    }

    /** Returns whether the attempt has been lost for at least the given duration. */
    public boolean isLostFor(long durationMs, long now) {
        return isLost() && now - lostAt >= durationMs;
    }

    /** Returns how long the attempt has been lost, or 0 if it is not lost. */
    public long lostForMs(long now) {
        return isLost() ? now - lostAt : 0;
    }

    /** Whether the job has ended before this task completed. */
    boolean isOfCancelledTask() {
        return job.isTerminal() && !job.isCompleted(index);
    }

    /** The time of the allocation, in milliseconds of the steady clock. */
    public long allocatedAt() {
        return allocatedAt;
    }

    /** How long this leader has observed the task running on the machine. */
    public long runtimeMs(long now) {
        return phase == Phase.RUNNING || phase == Phase.CHECKPOINTING ? now - runningSince : 0;
    }

    /** Whether any start command was sent to the agent. */
    public boolean startSent() {
        return startSent;
    }

    /** Records that a start command was sent. */
    public void markStartSent() {
        startSent = true;
    }

    /** Whether the start command must not be sent yet. */
    public boolean startWithheld() {
        return startWithheld;
    }

    /** Sets whether the start command must not be sent yet. Meanwhile the task still counts as possibly running. */
    public void setStartWithheld(boolean withheld) {
        startWithheld = withheld;
    }

    /**
     * Whether the machine will be removed before the task can complete, by the job owner's runtime estimate. False for
     * gang members, for attempts that no heartbeat has reported, and for tasks that are being stopped. Otherwise true
     * for a service, whose replicas never complete.
     */
    boolean losesMachineBeforeCompletion(long now) {
        if (stopping || !observed() || job.spec().gang()) {
            return false;
        }
        long remainingMs = (long) (job.spec().estimateS() * 1000) - runtimeMs(now);
        return job.spec().service() || remainingMs > machine.expectedRemovalAt() - now;
    }

    /** Whether a stop of the task was requested. */
    public boolean stopping() {
        return stopping;
    }

    /** Marks the task to be stopped; its resources stay allocated until the agent reports that it has ended. */
    public void requestStop(double graceS) {
        stopping = true;
        stopGraceS = graceS;
    }

    /** How long the task may take to save a checkpoint when it is stopped. */
    public double stopGraceS() {
        return stopGraceS;
    }
}
