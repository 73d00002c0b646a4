package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The starts that the agents of one machine may still execute, by attempt.
 *
 * <p>The same start may be sent several times: in a direct call, and in responses to heartbeats until one of them shows
 * the attempt. A direct call may be executed minutes late; a response is executed before the agent's next heartbeat, or
 * never. While a start is outstanding, an attempt that has ended must stay known to the agent, since a start that
 * arrives after the removal runs it again.
 *
 * <p>A direct call names a token and an epoch ({@link CommandFence}). An agent that has seen a higher token or has
 * begun a later epoch rejects it, but an agent that replaces this one has seen none and counts its epochs from the
 * first. So a direct call without an answer may be executed for as long as the machine exists, and the task must be
 * placed nowhere else ({@link AllocationRelease}).
 */
final class OutstandingStarts {
    /** How long an agent waits for the response to a heartbeat, by the protocol; it drops one that comes later. */
    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    /** The longest time by this controller's clock, since the clocks drift apart. */
    private static final long MAX_RESPONSE_WAIT_MS = RESPONSE_TIMEOUT_MS + RESPONSE_TIMEOUT_MS / 1_000;

    /** Starts in the direct call in flight. */
    private final Set<Attempt> inFlight = new HashSet<>();
    /** Starts in direct calls without an answer, with what the calls named. */
    private final Map<Attempt, Set<CommandFence>> unanswered = new HashMap<>();
    /** Starts in responses, with the last response that had them. */
    private final Map<Attempt, SentResponse> sentInResponses = new HashMap<>();

    private CommandFence fenceInFlight;

    /** A response to the heartbeat with a sequence. */
    private record SentResponse(long sequence, long sentAtMs) {}

    /** Records that a direct call is sent; there is one at a time. */
    void directCallSent(Collection<Attempt> starts, CommandFence fence) {
        inFlight.addAll(starts);
        fenceInFlight = fence;
    }

    /** Handles the answer to a direct call: none of its starts is executed later. */
    void directCallAnswered() {
        inFlight.clear();
    }

    /** Handles a direct call without an answer: its starts may have been executed, or may be later. */
    void directCallUnanswered() {
        for (Attempt start : inFlight) {
            unanswered.computeIfAbsent(start, attempt -> new HashSet<>()).add(fenceInFlight);
        }
        inFlight.clear();
    }

    /** Records a start that a direct call of a former leader may carry. */
    void addInherited(Attempt start, CommandFence fence) {
        unanswered.computeIfAbsent(start, attempt -> new HashSet<>()).add(fence);
    }

    /** Handles that direct calls without an answer carry a start no more, or that it harms nobody if they do. */
    void removeUnanswered(Attempt start) {
        unanswered.remove(start);
    }

    /** Returns the starts in direct calls without an answer. */
    Set<Attempt> unanswered() {
        return Collections.unmodifiableSet(unanswered.keySet());
    }

    /** Returns the starts that direct calls may still carry. */
    Set<Attempt> outstandingInDirectCalls() {
        Set<Attempt> starts = new HashSet<>(unanswered.keySet());
        starts.addAll(inFlight);
        return starts;
    }

    /** Records that a start is sent in the response to a heartbeat. */
    void sentInResponse(Attempt start, long sequence, long nowMs) {
        sentInResponses.put(start, new SentResponse(sequence, nowMs));
    }

    /** Handles a heartbeat: an agent sends one at a time, so it has executed or lost the responses to earlier ones. */
    void heartbeatReceived(long sequence) {
        sentInResponses.values().removeIf(response -> response.sequence < sequence);
    }

    /**
     * Handles the reply to a direct call: the agent has executed or dropped the responses that had left so long before
     * the call that it waits for them no more.
     */
    void replyReceived(long callSentAtMs) {
        sentInResponses.values().removeIf(response -> callSentAtMs - response.sentAtMs >= MAX_RESPONSE_WAIT_MS);
    }

    /**
     * Handles a new epoch of the same agent: it drops the responses to earlier heartbeats. An agent that replaces it
     * does not: the leader may have answered heartbeats of the new agent before it is known to be one.
     */
    void epochChanged() {
        sentInResponses.clear();
    }

    /** Returns whether the start is in the direct call in flight. */
    boolean isInFlight(Attempt start) {
        return inFlight.contains(start);
    }

    /** Returns whether a direct call with the start had no answer. */
    boolean isUnanswered(Attempt start) {
        return unanswered.containsKey(start);
    }

    /** Returns whether a direct call may still start the attempt on this machine, however late, by whichever agent. */
    boolean isOutstandingInDirectCalls(Attempt start) {
        return inFlight.contains(start) || unanswered.containsKey(start);
    }

    /** Returns whether an agent may still be waiting for a response with the start. */
    boolean isResponseAwaited(Attempt start, long nowMs) {
        SentResponse response = sentInResponses.get(start);
        return response != null && nowMs - response.sentAtMs < MAX_RESPONSE_WAIT_MS;
    }

    /** Returns whether the start may still be executed from direct calls without an answer, and from nothing else. */
    boolean isOutstandingOnlyInUnansweredCalls(Attempt start) {
        return unanswered.containsKey(start) && !inFlight.contains(start) && !sentInResponses.containsKey(start);
    }

    /** Returns whether the start may still be executed on this machine, from a direct call or a response. */
    boolean isOutstanding(Attempt start) {
        return isOutstandingInDirectCalls(start) || sentInResponses.containsKey(start);
    }

    /** Returns whether the present agent may still execute the start. */
    boolean isOutstandingFor(CommandFence agent, Attempt start) {
        return inFlight.contains(start)
                || unanswered.getOrDefault(start, Set.of()).stream().anyMatch(call -> call.isAcceptedBy(agent))
                || sentInResponses.containsKey(start);
    }

    /** Returns whether no start is outstanding. */
    boolean isEmpty() {
        return inFlight.isEmpty() && unanswered.isEmpty() && sentInResponses.isEmpty();
    }
}
