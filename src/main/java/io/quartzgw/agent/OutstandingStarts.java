package io.quartzgw.agent;

import io.quartzgw.model.Attempt;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks the starts that the agents of one machine may still execute, by attempt.
 *
 * <p>A start may be sent several times: in a direct call, and in heartbeat responses until a heartbeat lists the
 * attempt. A direct call may be executed minutes after it was sent, and again after it was executed and answered: an
 * agent ignores the start of an attempt that it holds, but starts the attempt once more after its removal. A heartbeat
 * response is executed before the agent sends its next heartbeat, or never. While a start is outstanding, the agent
 * must not remove the ended attempt, because a start that arrives after the removal would run the attempt again.
 *
 * <p>A direct call carries a fencing token and an epoch ({@link CommandFence}). An agent that has seen a higher token
 * or is in a later epoch rejects the call. A replacement agent on the same machine has seen no token and counts its
 * epochs from the first, so it may accept the call. An unanswered direct call may therefore be executed for as long as
 * the machine exists, and until then the task must not be placed on another machine ({@link AllocationRelease}).
 */
final class OutstandingStarts {
    /** How long the protocol lets an agent wait for a heartbeat response; the agent drops a later response. */
    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    /** The longest such wait as measured by this controller's clock; allows for a clock drift of 1/1000. */
    private static final long MAX_RESPONSE_WAIT_MS = RESPONSE_TIMEOUT_MS + RESPONSE_TIMEOUT_MS / 1_000;

    /** Starts in the direct call that is in flight. */
    private final Set<Attempt> inFlight = new HashSet<>();
    /** Starts in unanswered direct calls, with the fences of those calls. */
    private final Map<Attempt, Set<CommandFence>> unanswered = new HashMap<>();
    /** Starts in direct calls that the agent has executed in its epoch, with the highest token of those calls. */
    private final Map<Attempt, Long> executed = new HashMap<>();
    /** Starts sent in heartbeat responses, with the latest response that contained each. */
    private final Map<Attempt, SentResponse> sentInResponses = new HashMap<>();

    private CommandFence fenceInFlight;

    /**
     * A heartbeat response that contained a start.
     *
     * @param sequence the sequence of the heartbeat that it answers
     */
    private record SentResponse(long sequence, long sentAtMs) {}

    /** Records that a direct call is sent; at most one is in flight at a time. */
    void directCallSent(Collection<Attempt> starts, CommandFence fence) {
        inFlight.addAll(starts);
        fenceInFlight = fence;
    }

    /** Handles that the agent has executed the direct call, which may arrive again. */
    void directCallExecuted() {
        inFlight.forEach(start -> executed.merge(start, fenceInFlight.token(), Math::max));
        inFlight.clear();
    }

    /** Handles that the direct call was rejected or not sent: the agent executes none of its starts later. */
    void directCallNotExecuted() {
        inFlight.clear();
    }

    /** Handles that the direct call remained unanswered: its starts may have been executed or may be executed later. */
    void directCallUnanswered() {
        for (Attempt start : inFlight) {
            unanswered.computeIfAbsent(start, attempt -> new HashSet<>()).add(fenceInFlight);
        }
        inFlight.clear();
    }

    /** Adds a start that may still arrive in a direct call of a previous leader. */
    void addInherited(Attempt start, CommandFence fence) {
        unanswered.computeIfAbsent(start, attempt -> new HashSet<>()).add(fence);
    }

    /**
     * Removes a start that can no longer be executed from an unanswered direct call, or whose execution would be
     * harmless.
     */
    void removeUnanswered(Attempt start) {
        unanswered.remove(start);
    }

    /** Returns the starts in unanswered direct calls. */
    Set<Attempt> unanswered() {
        return Collections.unmodifiableSet(unanswered.keySet());
    }

    /** Returns the starts in direct calls that are in flight or unanswered. */
    Set<Attempt> outstandingInDirectCalls() {
        Set<Attempt> starts = new HashSet<>(unanswered.keySet());
        starts.addAll(inFlight);
        return starts;
    }

    /** Records that a start is sent in a heartbeat response. */
    void sentInResponse(Attempt start, long sequence, long nowMs) {
        sentInResponses.put(start, new SentResponse(sequence, nowMs));
    }

    /**
     * Handles a heartbeat. An agent sends one heartbeat at a time, so the responses to earlier heartbeats have been
     * executed or lost.
     */
    void heartbeatReceived(long sequence) {
        sentInResponses.values().removeIf(response -> response.sequence < sequence);
    }

    /**
     * Handles the reply to a direct call. The agent has executed or dropped every response that was sent at least the
     * longest response wait before the call.
     */
    void replyReceived(long callSentAtMs) {
        sentInResponses.values().removeIf(response -> callSentAtMs - response.sentAtMs >= MAX_RESPONSE_WAIT_MS);
    }

    /**
     * Handles a new epoch of the same agent, which drops the responses to earlier heartbeats. This does not hold for a
     * replacement agent: the leader may have answered its heartbeats before the replacement was detected.
     */
    void epochChanged() {
        sentInResponses.clear();
        executed.clear();
    }

    /**
     * Returns whether an agent that holds an attempt no longer may start it again from an executed direct call that
     * arrives once more.
     *
     * @param token the highest token that the agent has received
     */
    boolean isRepeatable(Attempt start, long token) {
        Long highestToken = executed.get(start);
        return highestToken != null && highestToken >= token;
    }

    /** Returns whether {@link #isRepeatable} holds for any start. */
    boolean isAnyRepeatable(long token) {
        return executed.values().stream().anyMatch(highestToken -> highestToken >= token);
    }

    /** Drops the starts in executed direct calls whose attempts are neither on the agent nor allocated to it. */
    void retainExecuted(Predicate<Attempt> isHeld) {
        executed.keySet().removeIf(isHeld.negate());
    }

    /** Returns whether the direct call in flight contains a start. */
    boolean hasStartsInFlight() {
        return !inFlight.isEmpty();
    }

    /** Returns whether the start is in the direct call that is in flight. */
    boolean isInFlight(Attempt start) {
        return inFlight.contains(start);
    }

    /** Returns whether a direct call with the start remained unanswered. */
    boolean isUnanswered(Attempt start) {
        return unanswered.containsKey(start);
    }

    /**
     * Returns whether a direct call may still start the attempt on this machine, at any later time and on any agent.
     */
    boolean isOutstandingInDirectCalls(Attempt start) {
        return inFlight.contains(start) || unanswered.containsKey(start);
    }

    /** Returns whether an agent may still be waiting for a heartbeat response that contains the start. */
    boolean isResponseAwaited(Attempt start, long nowMs) {
        SentResponse response = sentInResponses.get(start);
        return response != null && nowMs - response.sentAtMs < MAX_RESPONSE_WAIT_MS;
    }

    /** Returns whether the start is outstanding in unanswered direct calls only. */
    boolean isOutstandingOnlyInUnansweredCalls(Attempt start) {
        return unanswered.containsKey(start) && !inFlight.contains(start) && !sentInResponses.containsKey(start);
    }

    /** Returns whether the start may still be executed on this machine, from a direct call or a heartbeat response. */
    boolean isOutstanding(Attempt start) {
        return isOutstandingInDirectCalls(start) || sentInResponses.containsKey(start);
    }

    /**
     * Returns whether an agent may still execute the start.
     *
     * @param agent the highest token that the agent has shown, and its epoch
     */
    boolean isOutstandingFor(CommandFence agent, Attempt start) {
        return inFlight.contains(start)
                || unanswered.getOrDefault(start, Set.of()).stream().anyMatch(call -> call.isAcceptedBy(agent))
                || sentInResponses.containsKey(start);
    }
}
