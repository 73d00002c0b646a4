package io.quartzgw.cancellation;

import io.quartzgw.loop.Kernel;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Up to when this controller knows of every cancellation that any controller has told a user.
 *
 * <p>Two sources count. What the state service has told to a leader: all that was committed before it was asked. And
 * what the other controllers say: an answer names all cancellations of its process, so they are known up to the moment
 * when the question was sent. A process names what it has told itself and what it knows from others; what a process
 * told between its last answer and its end may be known to nobody. Such a gap is closed when the state service was read
 * after the next process had shown itself, or when that process is older than the cancel limit: whatever was told
 * before it began is over by then. This controller's own former process leaves one too.
 */
public final class CancellationWatermark {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Kernel kernel;
    private final long cancelMs;
    private final long startedAt;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Gap own;
    private long readAt = NEVER;

    /** Cancellations told from a moment on, by a process that has ended, may be unknown. */
    private static final class Gap {
        private long from;
        /** When the process had surely ended. */
        private long noticedAt;
        /** When all that it told is settled. */
        private long settledAt;

        Gap(long from, long noticedAt, long settledAt) {
            this.from = from;
            this.noticedAt = noticedAt;
            this.settledAt = settledAt;
        }
    }

    private static final class Peer {
        private boolean answered;
        private long process;
        private long until = NEVER;
        private Gap gap;
    }

    /** @param others the names of the other controllers */
    public CancellationWatermark(Kernel kernel, long cancelMs, Collection<String> others) {
        this.kernel = kernel;
        this.cancelMs = cancelMs;
        this.startedAt = kernel.now();
        this.own = new Gap(NEVER, startedAt, startedAt + cancelMs);
        others.forEach(name -> peers.put(name, new Peer()));
    }

    /** How long this process has run. */
    public long upMs() {
        return kernel.now() - startedAt;
    }

    /** A new term: what an earlier one has read is not in its cluster state. */
    public void nothingRead() {
        readAt = NEVER;
    }

    /** The leader's cluster state has everything that was in the state service at a moment. */
    public void read(long at) {
        readAt = Math.max(readAt, at);
    }

    /**
     * A peer has answered.
     *
     * @param upMs how long its process says that it has run
     * @param sent when it was asked
     * @param whole whether it named all that it had to
     */
    public void answered(String name, long process, long upMs, long sent, boolean whole) {
        Peer peer = peers.get(name);
        if (!peer.answered || peer.process != process) {
            long from = peer.until;
            // Two restarts may hide between two answers, and a second one must not hide the first one's gap.
            if (peer.gap != null && kernel.now() < peer.gap.settledAt) {
                from = Math.min(from, peer.gap.from);
            }
            peer.gap = new Gap(from, kernel.now(), kernel.now() - upMs + cancelMs);
            peer.answered = true;
            peer.process = process;
            peer.until = NEVER;
        }
        if (whole) {
            peer.until = Math.max(peer.until, sent);
        }
    }

    /** @param confirmedAt the last moment at which this node surely held its term; what was read later doesn't count */
    public long until(long confirmedAt) {
        long told = open(own) ? own.from : kernel.now();
        for (Peer peer : peers.values()) {
            told = Math.min(told, peer.answered && open(peer.gap) ? Math.min(peer.until, peer.gap.from) : peer.until);
        }
        return Math.max(told, Math.min(readAt, confirmedAt));
    }

    private boolean open(Gap gap) {
        return gap.noticedAt > readAt && kernel.now() < gap.settledAt;
    }
}
