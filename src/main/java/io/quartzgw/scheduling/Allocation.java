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

    /** The last known phase. */
    public Phase phase() {
        return phase;
    }

    /** Whether a heartbeat has shown the attempt. */
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

    /** Records that the attempt no longer runs, with its agent or by itself, though it may be started again there. */
    public void markLost(long now) {
        phase = Phase.ASSIGNED;
        lostAt = now;
    }

    /** Whether the attempt no longer runs, as far as is known, and has not been seen again since. */
    public boolean isLost() {
        return lostAt != NOT_LOST;
    }

    /** Returns whether the attempt was lost at least so many milliseconds ago. */
    public boolean isLostFor(long durationMs, long now) {
        return isLost() && now - lostAt >= durationMs;
    }

    /** Returns how many milliseconds ago the attempt was lost, or 0 if it is not. */
    public long lostForMs(long now) {
        return isLost() ? now - lostAt : 0;
    }

    /** Whether its job has ended though the task is not done. */
    boolean isOfCancelledTask() {
        return job.isTerminal() && !job.isDone(index);
    }

    /** When the task was allocated, on the steady clock. */
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

    /** Records that a start command was sent. */
    public void markStartSent() {
        startSent = true;
    }

    /** Whether the start must not be sent yet. */
    public boolean startWithheld() {
        return startWithheld;
    }

    /** Sets whether the start must not be sent yet; the task counts as possibly running all the same. */
    public void withholdStart(boolean withheld) {
        startWithheld = withheld;
    }

    /** Whether the machine is gone before the task can complete there, by its owner's runtime estimate. */
    boolean losesMachineBeforeCompletion(long now) {
        if (stopping || !observed() || job.spec().gang()) {
            return false;
        }
        long remainingMs = (long) (job.spec().estimateS() * 1000) - runtimeMs(now);
        return job.spec().service() || remainingMs > machine.expectedRemovalAt() - now;
    }

    /** Whether the task was asked to stop. */
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
