package io.quartzgw.cancellation;

import io.quartzgw.eventloop.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The cancelled jobs whose cancellation this or another controller has acknowledged to a user. Every controller records
 * them, not only the leader, and announces them to the others until no task of the job can still run. So a cancellation
 * survives a crash of the controller that acknowledged it, and a new leader has it before it has read the state
 * service.
 */
public final class CancellationRegistry {
    /**
     * How long a job is announced, as a multiple of the cancel limit. This is longer than its tasks may run, since
     * clocks drift and messages are delayed.
     */
    private static final double ANNOUNCEMENT_CANCEL_LIMITS = 1.5;
    /**
     * How long a job is retained, as a multiple of the cancel limit. This is longer than it is announced, so that a
     * delayed announcement is not recorded as a new cancellation.
     */
    private static final double RETENTION_CANCEL_LIMITS = 4;
    /** At 24 bytes for each job and its age, a message stays below 64 KiB together with all its other fields. */
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

    /** Sets the listener that is notified of each newly recorded job. */
    public void setListener(Consumer<String> listener) {
        this.listener = listener;
    }

    /** Whether a job is recorded as cancelled. */
    public boolean contains(String job) {
        return cancelledAtMs.containsKey(job);
    }

    /** When a job was cancelled, or empty if it is not recorded as cancelled. */
    public OptionalLong cancelledAtMs(String job) {
        Long atMs = cancelledAtMs.get(job);
        return atMs == null ? OptionalLong.empty() : OptionalLong.of(atMs);
    }

    /** Whether no job is recorded as cancelled. */
    public boolean isEmpty() {
        return cancelledAtMs.isEmpty();
    }

    /**
     * Records that a job is cancelled. This must be called before any response that reports the cancellation to a user:
     * to the cancellation request, to a poll, or to a repeated submission.
     *
     * @return whether the job was newly recorded
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

    // The map is almost in the order of cancellation: jobs announced by other controllers are slightly older than the
    // order suggests.
    private void expire() {
        Iterator<Long> oldestFirst = cancelledAtMs.values().iterator();
        while (oldestFirst.hasNext() && eventLoop.nowMs() - oldestFirst.next() > retentionMs) {
            oldestFirst.remove();
        }
    }

    /** The jobs to announce to the other controllers. */
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

    /** Records the jobs of another controller's announcement. It may be delayed, since cancellations are final. */
    public void recordAll(CancellationAnnouncement announcement) {
        announcement.ageMsByJob().forEach((job, ageMs) -> record(job, Math.max(0, ageMs)));
    }
}
