package io.quartzgw.leadership;

import io.quartzgw.leadership.PeerMessage.Attachments;

/** Creates the messages to the peers from the current state of this controller's components. */
final class PeerMessageFactory {
    private final ControllerIdentity identity;
    private final PeerExchange.Participants participants;
    private final RedirectedAgents redirectedAgents;
    private final UnresponsiveLeaderDetector unresponsiveLeaderDetector;
    private final long staleAfterMs;
    private long lastSequence;

    /** @param staleAfterMs how long the state service counts as reachable after its last response */
    PeerMessageFactory(
            ControllerIdentity identity,
            PeerExchange.Participants participants,
            RedirectedAgents redirectedAgents,
            UnresponsiveLeaderDetector unresponsiveLeaderDetector,
            long staleAfterMs) {
        this.identity = identity;
        this.participants = participants;
        this.redirectedAgents = redirectedAgents;
        this.unresponsiveLeaderDetector = unresponsiveLeaderDetector;
        this.staleAfterMs = staleAfterMs;
    }

    /** Creates the next message, without attachments. */
    PeerMessage create() {
        return new PeerMessage(
                identity,
                ++lastSequence,
                status(),
                participants.cancellations().announcement(),
                participants.writeBudget().demandPerS(),
                Attachments.NONE);
    }

    private PeerStatus status() {
        Leadership leadership = participants.leadership();
        return new PeerStatus(
                redirectedAgents.count(),
                participants.watermark().uptimeMs(),
                leadership.isLeading() ? leadership.term() : 0,
                leadership.highestTerm(),
                storeReachable(),
                unresponsiveLeaderDetector.isLeaderUnresponsive());
    }

    private boolean storeReachable() {
        return participants.store().reachable() && participants.store().respondedWithin(staleAfterMs);
    }
}
