package io.quartzgw.cancellation;

import io.quartzgw.eventloop.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the time before which this controller has recorded every cancellation that any controller has acknowledged to
 * a user.
 *
 * <p>There are two sources. A leader that reads the state service gets all cancellations committed before its request.
 * And a response of a peer announces all cancellations that its process has recorded, so this controller then has all
 * of them up to the time when the request was sent. Cancellations that a process acknowledged between its last response
 * and its end may have reached no other controller: this is a gap. A gap is closed by a read of the state service after
 * the peer's next process was detected. It also closes once that process is older than the cancel limit, since then no
 * task of a job that was cancelled before can still run. The previous process of this controller leaves a gap, too.
 */
public final class CancellationWatermark {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop eventLoop;
    private final long cancelLimitMs;
    private final long startedAtMs;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Gap ownGap;
    private long storeReadAtMs = NEVER;

    /**
     * A period in which a process that has ended may have acknowledged cancellations that this controller has not
     * recorded.
     *
     * @param unknownFromMs the earliest time at which such a cancellation may have been acknowledged
     * @param detectedAtMs when the process was detected to have ended
     * @param expiresAtMs when the cancel limit of the last such cancellation has passed
     */
    private record Gap(long unknownFromMs, long detectedAtMs, long expiresAtMs) {}

    /** The state of another controller, from its responses. */
    private static final class Peer {
        private long process;
        private long knownUntilMs = NEVER;
        /** The gap before its current process; empty until the peer has responded. */
        private Optional<Gap> gap = Optional.empty();

        boolean hasRespondedAs(long respondingProcess) {
            return gap.isPresent() && process == respondingProcess;
        }

        void replaceProcess(long newProcess, Gap gapBefore) {
            process = newProcess;
            gap = Optional.of(gapBefore);
            knownUntilMs = NEVER;
        }
    }

    /** @param peerNames the names of the other controllers */
    public CancellationWatermark(EventLoop eventLoop, long cancelLimitMs, Collection<String> peerNames) {
        this.eventLoop = eventLoop;
        this.cancelLimitMs = cancelLimitMs;
        this.startedAtMs = eventLoop.nowMs();
        this.ownGap = new Gap(NEVER, startedAtMs, startedAtMs + cancelLimitMs);
        peerNames.forEach(name -> peers.put(name, new Peer()));
    }

    /** How long this process has been running. */
    public long uptimeMs() {
        return eventLoop.nowMs() - startedAtMs;
    }

    /** Discards store reads of an earlier term, since the new term's cluster state does not contain them. */
    public void resetStoreRead() {
        storeReadAtMs = NEVER;
    }

    /** Records that the leader's cluster state contains everything that was in the state service at the given time. */
    public void recordStoreRead(long readAtMs) {
        storeReadAtMs = Math.max(storeReadAtMs, readAtMs);
    }

    /**
     * Records a response of a peer.
     *
     * @param process identifies the peer's process
     * @param uptimeMs how long the process has been running, as it reports
     * @param requestedAtMs when the request was sent to the peer
     * @param complete whether the response announced all cancellations that the peer had to announce
     */
    public void recordPeerResponse(String name, long process, long uptimeMs, long requestedAtMs, boolean complete) {
        Peer peer = peers.get(name);
        if (!peer.hasRespondedAs(process)) {
            peer.replaceProcess(process, gapBeforeCurrentProcess(peer, uptimeMs));
        }
        if (complete) {
            peer.knownUntilMs = Math.max(peer.knownUntilMs, requestedAtMs);
        }
    }

    private Gap gapBeforeCurrentProcess(Peer peer, long uptimeMs) {
        long nowMs = eventLoop.nowMs();
        // The peer may restart again while its last gap is open. The new gap then includes the previous one.
        long unknownFromMs = peer.gap
                .filter(previous -> nowMs < previous.expiresAtMs())
                .map(previous -> Math.min(peer.knownUntilMs, previous.unknownFromMs()))
                .orElse(peer.knownUntilMs);
        return new Gap(unknownFromMs, nowMs, nowMs - uptimeMs + cancelLimitMs);
    }

    /**
     * Returns the watermark. Store reads count only up to the last time at which the term was confirmed, since the next
     * leader relies on this bound.
     *
     * @param confirmedAtMs the last time at which this controller was confirmed as leader
     */
    public long knownUntilMs(long confirmedAtMs) {
        long knownByAllMs = isOpen(ownGap) ? ownGap.unknownFromMs() : eventLoop.nowMs();
        for (Peer peer : peers.values()) {
            knownByAllMs = Math.min(knownByAllMs, knownUntilMs(peer));
        }
        return Math.max(knownByAllMs, Math.min(storeReadAtMs, confirmedAtMs));
    }

    private long knownUntilMs(Peer peer) {
        return peer.gap
                .filter(this::isOpen)
                .map(gap -> Math.min(peer.knownUntilMs, gap.unknownFromMs()))
                .orElse(peer.knownUntilMs);
    }

    private boolean isOpen(Gap gap) {
        return gap.detectedAtMs() > storeReadAtMs && eventLoop.nowMs() < gap.expiresAtMs();
    }
}
