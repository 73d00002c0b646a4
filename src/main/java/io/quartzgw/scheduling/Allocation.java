package io.quartzgw.scheduling;

import io.quartzgw.model.Resources;

/** A task's place on a machine: it runs there, or may run there. */
public final class Allocation {

    /** What is known of the attempt. */
    public enum Phase {
        /** Booked, and not yet seen in a report. */
        ASSIGNED,
        FETCHING,
        RUNNING,
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

    /** Whether a report has shown the attempt. */
    public boolean observed() {
        return phase != Phase.ASSIGNED;
    }

    /** Notes the phase that the worker reports for this attempt. */
    public void observed(Phase reported, long now) {
        if (reported == Phase.RUNNING && phase != Phase.RUNNING) {
            runningSince = now;
            machine.cacheImage(job.spec().image(), job.spec().imageGb());
        }
        phase = reported;
    }

    /** The worker that had shown the attempt is gone; its successor may be started with the same attempt. */
    public void agentReplaced() {
        phase = Phase.ASSIGNED;
    }

    public long allocatedAt() {
        return allocatedAt;
    }

    /** How long the task has run on this machine, as far as this leader has seen. */
    public long runtimeMs(long now) {
        return phase == Phase.RUNNING || phase == Phase.CHECKPOINTING ? now - runningSince : 0;
    }

    /** Whether the start order has left this node at all. */
    public boolean startSent() {
        return startSent;
    }

    public void markStartSent() {
        startSent = true;
    }

    /**
     * Whether the cloud takes the machine away before the task can have ended there, as far as its owner's guess goes.
     */
    boolean reclaimedBeforeEnd(long now) {
        if (stopping || !observed() || job.spec().gang()) {
            return false;
        }
        long left = (long) (job.spec().estimateS() * 1000) - runtimeMs(now);
        return job.spec().service() || left > machine.reclaimAt() - now;
    }

    public boolean stopping() {
        return stopping;
    }

    /** Has the task stopped; it keeps its place until the machine says that it has ended. */
    public void requestStop(double graceS) {
        stopping = true;
        stopGraceS = graceS;
    }

    public double stopGraceS() {
        return stopGraceS;
    }
}
