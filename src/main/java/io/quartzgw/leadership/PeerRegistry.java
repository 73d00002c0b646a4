package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/** The states of all peers that have responded to this controller. */
final class PeerRegistry {
    private final EventLoop eventLoop;
    private final long staleAfterMs;
    private final Map<String, PeerState> peers = new HashMap<>();

    /** @param staleAfterMs the maximum age of a status that counts as recent */
    PeerRegistry(EventLoop eventLoop, long staleAfterMs) {
        this.eventLoop = eventLoop;
        this.staleAfterMs = staleAfterMs;
    }

    /** Returns the state of a peer, if the sender is the process that responded last. */
    Optional<PeerState> findCurrentProcess(ControllerIdentity sender) {
        return Optional.ofNullable(peers.get(sender.member())).filter(peer -> peer.isProcess(sender.process()));
    }

    /** Records which process of a peer has responded. */
    PeerState observeProcess(ControllerIdentity peer) {
        PeerState state = peers.computeIfAbsent(peer.member(), name -> new PeerState());
        state.observeProcess(peer.process());
        return state;
    }

    /** Returns whether each of these peers has observed this term or a higher one. */
    boolean allAcknowledged(Set<String> members, long term) {
        return members.stream()
                .allMatch(name -> peers.containsKey(name) && peers.get(name).acknowledgedTerm() >= term);
    }

    /** Returns the highest number of redirected agents that a single peer recently reported. */
    int maxRedirectedAgents() {
        return recentPeers().mapToInt(PeerState::redirectedAgents).max().orElse(0);
    }

    /** Returns whether the state service recently responded to any peer. */
    boolean anyReachesStore() {
        return recentPeers().anyMatch(PeerState::storeReachable);
    }

    /** Returns the number of peers that recently reported the leader of a term as unresponsive. */
    int countReportingLeaderUnresponsive(long term) {
        return (int) recentPeers()
                .filter(peer -> peer.reportsLeaderUnresponsive(term))
                .count();
    }

    /** Returns when the last status of a process was received if the process is known to be current. */
    OptionalLong lastReceivedAtMs(ControllerIdentity peer) {
        return findCurrentProcess(peer)
                .map(state -> OptionalLong.of(state.lastReceivedAtMs()))
                .orElse(OptionalLong.empty());
    }

    private Stream<PeerState> recentPeers() {
        return peers.values().stream().filter(peer -> eventLoop.nowMs() - peer.lastReceivedAtMs() <= staleAfterMs);
    }
}
