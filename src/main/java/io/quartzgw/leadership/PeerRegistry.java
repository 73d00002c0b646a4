package io.quartzgw.leadership;

import io.quartzgw.eventloop.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/** The states of all peers that have answered this controller. */
final class PeerRegistry {
    private final EventLoop eventLoop;
    private final long staleAfterMs;
    private final Map<String, PeerState> peers = new HashMap<>();

    /** @param staleAfterMs how long a status counts */
    PeerRegistry(EventLoop eventLoop, long staleAfterMs) {
        this.eventLoop = eventLoop;
        this.staleAfterMs = staleAfterMs;
    }

    /** The state of a peer, if the sender is the process that has answered last. */
    Optional<PeerState> findCurrentProcess(ControllerIdentity sender) {
        return Optional.ofNullable(peers.get(sender.member())).filter(peer -> peer.isProcess(sender.process()));
    }

    /** Records that a peer has answered as a process. */
    PeerState observeProcess(ControllerIdentity peer) {
        PeerState state = peers.computeIfAbsent(peer.member(), name -> new PeerState());
        state.observeProcess(peer.process());
        return state;
    }

    /** Whether each of these peers has observed a term at least as high. */
    boolean allAcknowledged(Set<String> members, long term) {
        return members.stream()
                .allMatch(name -> peers.containsKey(name) && peers.get(name).acknowledgedTerm() >= term);
    }

    /** The most redirected agents that one peer lately had. */
    int maxRedirectedAgents() {
        return recentPeers().mapToInt(PeerState::redirectedAgents).max().orElse(0);
    }

    /** Whether the state store lately answered some peer. */
    boolean anyReachesStore() {
        return recentPeers().anyMatch(PeerState::storeReachable);
    }

    /** How many peers have lately said that they have not heard the leader of a term for long. */
    int countReportingLeaderUnresponsive(long term) {
        return (int) recentPeers()
                .filter(peer -> peer.reportsLeaderUnresponsive(term))
                .count();
    }

    /** When a process of a peer was last heard; empty if it is not known to be the present one. */
    OptionalLong lastReceivedAtMs(ControllerIdentity peer) {
        return findCurrentProcess(peer)
                .map(state -> OptionalLong.of(state.lastReceivedAtMs()))
                .orElse(OptionalLong.empty());
    }

    private Stream<PeerState> recentPeers() {
        return peers.values().stream().filter(peer -> eventLoop.nowMs() - peer.lastReceivedAtMs() <= staleAfterMs);
    }
}
