package io.quartzgw.agent;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The starts that one agent may still execute, by attempt.
 *
 * <p>The same start may be sent several times: in a direct call, and in responses to heartbeats until one of them shows
 * the attempt. A direct call may be executed minutes late; a response is executed before the agent's next heartbeat, or
 * never. While a start is outstanding, an attempt that has ended must stay known to the agent, since a start that
 * arrives after the removal runs it again; and its task must not be placed elsewhere merely because the machine is
 * unreachable.
 */
final class OutstandingStarts {
    /** Starts in the direct call in flight. */
    private final Set<Attempt> inFlight = new HashSet<>();
    /** Starts in direct calls without an answer, which may be executed for as long as the agent's epoch lasts. */
    private final Set<Attempt> unanswered = new HashSet<>();
    /** Starts in responses, with the sequence of the last heartbeat that was answered so. */
    private final Map<Attempt, Long> sentInResponses = new HashMap<>();

    /** Records that a direct call is sent; there is one at a time. */
    void sentDirectly(Collection<Attempt> starts) {
        inFlight.addAll(starts);
    }

    /** Handles the answer to a direct call: none of its starts is executed later. */
    void callAnswered() {
        inFlight.clear();
    }

    /** Handles a direct call without an answer: its starts may have been executed, or may be later. */
    void callUnanswered() {
        unanswered.addAll(inFlight);
        inFlight.clear();
    }

    /** Records that a start is sent in the response to a heartbeat. */
    void sentInResponse(Attempt start, long sequence) {
        sentInResponses.put(start, sequence);
    }

    /** Handles a heartbeat: an agent sends one at a time, so it has executed or lost the responses to earlier ones. */
    void heartbeatReceived(long sequence) {
        sentInResponses.values().removeIf(answered -> answered < sequence);
    }

    /** Handles a new epoch: the agent rejects starts that name an earlier one. */
    void epochChanged() {
        inFlight.clear();
        unanswered.clear();
        sentInResponses.clear();
    }

    /** Handles a new agent, which counts epochs anew: direct calls to the former agent may still reach it. */
    void agentReplaced() {
        sentInResponses.clear();
    }

    /** Returns whether the start is in the direct call in flight. */
    boolean isInFlight(Attempt start) {
        return inFlight.contains(start);
    }

    /** Returns whether a direct call with the start had no answer. */
    boolean isUnanswered(Attempt start) {
        return unanswered.contains(start);
    }

    /** Returns whether a direct call may still start the attempt, however late. */
    boolean isOutstandingDirectly(Attempt start) {
        return inFlight.contains(start) || unanswered.contains(start);
    }

    /** Returns whether the start may still be executed, from a direct call or a response. */
    boolean isOutstanding(Attempt start) {
        return isOutstandingDirectly(start) || sentInResponses.containsKey(start);
    }

    /** Returns whether no start is outstanding. */
    boolean isEmpty() {
        return inFlight.isEmpty() && unanswered.isEmpty() && sentInResponses.isEmpty();
    }
}
