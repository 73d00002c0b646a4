package io.quartzgw.cancellation;

import io.quartzgw.eventloop.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The moment before which this controller knows every cancellation that any controller has acknowledged to a user.
 *
 * <p>There are two sources. A leader that has read the state store knows all that was committed before it asked. And an
 * answer of another controller announces all cancellations that its process knows, so they are known up to the moment
 * when the question was sent. What a process acknowledged between its last answer and its end may be known to nobody:
 * that is a gap. A gap is closed when the state store was read after the next process had been noticed, or when that
 * process is older than the cancel limit: no task of a job that was cancelled before can still run then. This
 * controller's own former process leaves a gap, too.
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
     * Cancellations of a process that has ended, which may be unknown.
     *
     * @param unknownFromMs when the first of them may have been acknowledged
     * @param detectedAtMs when the process had surely ended
     * @param expiresAtMs when the cancel limit of the last of them is over
     */
    private record Gap(long unknownFromMs, long detectedAtMs, long expiresAtMs) {}

    /** What is known of another controller. */
    private static final class Peer {
        private long process;
        private long knownUntilMs = NEVER;
        /** The gap before its present process; empty until the peer has answered. */
        private Optional<Gap> gap = Optional.empty();

        boolean hasRespondedAs(long answeringProcess) {
            return gap.isPresent() && process == answeringProcess;
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

    /** How long this process has run. */
    public long uptimeMs() {
        return eventLoop.nowMs() - startedAtMs;
    }

    /** Forgets what an earlier term has read: it is not in the cluster state of the new one. */
    public void resetStoreRead() {
        storeReadAtMs = NEVER;
    }

    /** Records that the leader's cluster state has everything that was in the state store at a moment. */
    public void recordStoreRead(long readAtMs) {
        storeReadAtMs = Math.max(storeReadAtMs, readAtMs);
    }

    /**
     * Records that a peer has answered.
     *
     * @param uptimeMs how long its process has run, by its own account
     * @param askedAtMs when it was asked
     * @param complete whether it announced all cancellations that it had to
     */
    public void recordPeerAnswer(String name, long process, long uptimeMs, long askedAtMs, boolean complete) {
        Peer peer = peers.get(name);
        if (!peer.hasRespondedAs(process)) {
            peer.replaceProcess(process, gapBeforeCurrentProcess(peer, uptimeMs));
        }
        if (complete) {
            peer.knownUntilMs = Math.max(peer.knownUntilMs, askedAtMs);
        }
    }

    private Gap gapBeforeCurrentProcess(Peer peer, long uptimeMs) {
        long nowMs = eventLoop.nowMs();
        // Two restarts may lie between two answers, and a second one must not hide the first one's gap.
        long unknownFromMs = peer.gap
                .filter(former -> nowMs < former.expiresAtMs())
                .map(former -> Math.min(peer.knownUntilMs, former.unknownFromMs()))
                .orElse(peer.knownUntilMs);
        return new Gap(unknownFromMs, nowMs, nowMs - uptimeMs + cancelLimitMs);
    }

    /**
     * The watermark. What was read after the last confirmation of the term does not count, since a successor relies on
     * that.
     *
     * @param confirmedAtMs the last moment at which this controller surely led
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
