package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;

/**
 * The assignment of one task attempt to a machine, whose resources it reserves until it is released: the task runs
 * there, or may run there.
 */
public final class Allocation {

    /** The phase of the attempt, as far as its agent has reported it. */
    public enum Phase {
        /** Allocated, and not yet seen in a heartbeat. */
        ASSIGNED,
        /** The agent fetches the image. */
        FETCHING,
        /** The task runs. */
        RUNNING,
        /** The task saves a checkpoint before it stops. */
        CHECKPOINTING
    }

    private final Job job;
    private final int index;
    private final long attempt;
    private final Machine machine;
    private final long allocatedAt;
    private Phase phase = Phase.ASSIGNED;
    private long runningSince;
    private boolean startSent;
    private boolean stopping;
    private double stopGraceS;

    Allocation(Job job, int index, long attempt, Machine machine, long now) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.allocatedAt = now;
    }

    public Job job() {
        return job;
    }

    public int index() {
        return index;
    }

    public long attempt() {
        return attempt;
    }

    public Machine machine() {
        return machine;
    }

    public Resources demand() {
        return job.spec().demand();
    }

    public String task() {
        return job.task(index);
    }

    public Phase phase() {
        return phase;
    }

    /** Whether a heartbeat has shown the attempt. */
    public boolean observed() {
        return phase != Phase.ASSIGNED;
    }

    /** Records the phase that the agent reports for this attempt. */
    public void observed(Phase reported, long now) {
        if (reported == Phase.RUNNING && phase != Phase.RUNNING) {
            runningSince = now;
            machine.cacheImage(job.spec().image(), job.spec().imageGb());
        }
        phase = reported;
    }

    /** Records that the agent restarted: the same attempt may be started on its successor. */
    public void agentReplaced() {
        phase = Phase.ASSIGNED;
    }

    public long allocatedAt() {
        return allocatedAt;
    }

    /** How long the task has run on this machine, as far as this leader has observed. */
    public long runtimeMs(long now) {
        return phase == Phase.RUNNING || phase == Phase.CHECKPOINTING ? now - runningSince : 0;
    }

    /** Whether a start command was sent to the agent at all. */
    public boolean startSent() {
        return startSent;
    }

    public void markStartSent() {
        startSent = true;
    }

    /** Whether the cloud reclaims the machine before the task can complete there, by its owner's runtime estimate. */
    boolean reclaimedBeforeEnd(long now) {
        if (stopping || !observed() || job.spec().gang()) {
            return false;
        }
        long remainingMs = (long) (job.spec().estimateS() * 1000) - runtimeMs(now);
        return job.spec().service() || remainingMs > machine.reclaimAt() - now;
    }

    public boolean stopping() {
        return stopping;
    }

    /** Marks the task to be stopped; its resources stay allocated until the agent reports that it has ended. */
    public void requestStop(double graceS) {
        stopping = true;
        stopGraceS = graceS;
    }

    public double stopGraceS() {
        return stopGraceS;
    }
}
