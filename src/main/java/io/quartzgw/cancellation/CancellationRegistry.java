package io.quartzgw.cancellation;

import io.quartzgw.eventloop.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The jobs that are cancelled, as acknowledged to a user by this or another controller. Every controller records all of
 * them, whoever leads, and announces them to the others until no task of the job can run any more. So a cancellation
 * outlives the controller that acknowledged it, and a new leader knows it before it has read anything.
 */
public final class CancellationRegistry {
    /**
     * How long a job is announced, in cancel limits: longer than its tasks may run, as clocks drift and messages wait.
     */
    private static final double ANNOUNCEMENT_CANCEL_LIMITS = 1.5;
    /** How long a job is retained: longer than announced, so that a late announcement does not make it new again. */
    private static final double RETENTION_CANCEL_LIMITS = 4;
    /** At 24 bytes each, with the age, a message stays below 64 KiB beside all its other fields. */
    private static final int MAX_ANNOUNCED_JOBS = 1_500;

    private final EventLoop eventLoop;
    private final long announcementMs;
    private final long retentionMs;
    private final Map<String, Long> cancelledAtMs = new LinkedHashMap<>();
    private Consumer<String> listener = job -> {};

    /** @param cancelLimitMs how long after a cancellation the job's tasks may still run */
    public CancellationRegistry(EventLoop eventLoop, long cancelLimitMs) {
        this.eventLoop = eventLoop;
        this.announcementMs = (long) (ANNOUNCEMENT_CANCEL_LIMITS * cancelLimitMs);
        this.retentionMs = (long) (RETENTION_CANCEL_LIMITS * cancelLimitMs);
    }

    /** Sets the receiver of each job that becomes known as cancelled. */
    public void setListener(Consumer<String> listener) {
        this.listener = listener;
    }

    /** Whether a job is recorded as cancelled. */
    public boolean contains(String job) {
        return cancelledAtMs.containsKey(job);
    }

    /** When a job was cancelled that is recorded as such. */
    public OptionalLong cancelledAtMs(String job) {
        Long atMs = cancelledAtMs.get(job);
        return atMs == null ? OptionalLong.empty() : OptionalLong.of(atMs);
    }

    /** Whether no job is recorded as cancelled. */
    public boolean isEmpty() {
        return cancelledAtMs.isEmpty();
    }

    /**
     * Records that a job is cancelled. This must come before any response that lets a user know: the one to the
     * cancellation, to a poll, or to a repeated submission.
     *
     * @return whether the job was not recorded before
     */
    public boolean record(String job) {
        return record(job, 0);
    }

    private boolean record(String job, long ageMs) {
        expire();
        if (ageMs >= retentionMs || cancelledAtMs.putIfAbsent(job, eventLoop.nowMs() - ageMs) != null) {
            return false;
        }
        listener.accept(job);
        return true;
    }

    // The map is nearly in the order of time: jobs that other controllers have announced are a little older.
    private void expire() {
        Iterator<Long> oldestFirst = cancelledAtMs.values().iterator();
        while (oldestFirst.hasNext() && eventLoop.nowMs() - oldestFirst.next() > retentionMs) {
            oldestFirst.remove();
        }
    }

    /** The jobs to announce to the other controllers, each with its age. */
    public CancellationAnnouncement announcement() {
        expire();
        Map<String, Long> ageMsByJob = new LinkedHashMap<>();
        for (Map.Entry<String, Long> entry : cancelledAtMs.entrySet()) {
            long ageMs = eventLoop.nowMs() - entry.getValue();
            if (ageMs >= announcementMs) {
                continue;
            }
            if (ageMsByJob.size() == MAX_ANNOUNCED_JOBS) {
                return new CancellationAnnouncement(ageMsByJob, false);
            }
            ageMsByJob.put(entry.getKey(), ageMs);
        }
        return new CancellationAnnouncement(ageMsByJob, true);
    }

    /** Records the jobs of another controller's announcement, however late it comes: a cancellation stays true. */
    public void recordAll(CancellationAnnouncement announcement) {
        announcement.ageMsByJob().forEach((job, ageMs) -> record(job, Math.max(0, ageMs)));
    }
}
