package io.quartzgw.cancellation;

import io.quartzgw.eventloop.EventLoop;
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

    private final EventLoop eventLoop;
    private final long cancelMs;
    private final long startedAt;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Gap ownGap;
    private long storeReadAt = NEVER;

    /** Cancellations told from a moment on, by a process that has ended, may be unknown. */
    private static final class Gap {
        private long unknownFrom;
        /** When the process had surely ended. */
        private long noticedAt;
        /** When all that it told is settled. */
        private long settledAt;

        Gap(long from, long noticedAt, long settledAt) {
            this.unknownFrom = from;
            this.noticedAt = noticedAt;
            this.settledAt = settledAt;
        }
    }

    private static final class Peer {
        private boolean answered;
        private long process;
        private long knownUntil = NEVER;
        private Gap gap;
    }

    /** @param others the names of the other controllers */
    public CancellationWatermark(EventLoop eventLoop, long cancelMs, Collection<String> others) {
        this.eventLoop = eventLoop;
        this.cancelMs = cancelMs;
        this.startedAt = eventLoop.nowMs();
        this.ownGap = new Gap(NEVER, startedAt, startedAt + cancelMs);
        others.forEach(name -> peers.put(name, new Peer()));
    }

    /** How long this process has run. */
    public long uptimeMs() {
        return eventLoop.nowMs() - startedAt;
    }

    /** A new term: what an earlier one has read is not in its cluster state. */
    public void resetStoreRead() {
        storeReadAt = NEVER;
    }

    /** The leader's cluster state has everything that was in the state service at a moment. */
    public void storeReadAt(long readAt) {
        storeReadAt = Math.max(storeReadAt, readAt);
    }

    /**
     * A peer has answered.
     *
     * @param uptimeMs how long its process says that it has run
     * @param askedAt when it was asked
     * @param complete whether it named all that it had to
     */
    public void peerAnswered(String name, long process, long uptimeMs, long askedAt, boolean complete) {
        Peer peer = peers.get(name);
        if (!peer.answered || peer.process != process) {
            long unknownFrom = peer.knownUntil;
            // Two restarts may hide between two answers, and a second one must not hide the first one's gap.
            if (peer.gap != null && eventLoop.nowMs() < peer.gap.settledAt) {
                unknownFrom = Math.min(unknownFrom, peer.gap.unknownFrom);
            }
            peer.gap = new Gap(unknownFrom, eventLoop.nowMs(), eventLoop.nowMs() - uptimeMs + cancelMs);
            peer.answered = true;
            peer.process = process;
            peer.knownUntil = NEVER;
        }
        if (complete) {
            peer.knownUntil = Math.max(peer.knownUntil, askedAt);
        }
    }

    /** @param confirmedAt the last moment at which this node surely held its term; what was read later doesn't count */
    public long knownUntil(long confirmedAt) {
        long knownUntil = isOpen(ownGap) ? ownGap.unknownFrom : eventLoop.nowMs();
        for (Peer peer : peers.values()) {
            knownUntil = Math.min(
                    knownUntil,
                    peer.answered && isOpen(peer.gap)
                            ? Math.min(peer.knownUntil, peer.gap.unknownFrom)
                            : peer.knownUntil);
        }
        return Math.max(knownUntil, Math.min(storeReadAt, confirmedAt));
    }

    private boolean isOpen(Gap gap) {
        return gap.noticedAt > storeReadAt && eventLoop.nowMs() < gap.settledAt;
    }
}
