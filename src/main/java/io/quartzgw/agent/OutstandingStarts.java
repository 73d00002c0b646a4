package io.quartzgw.agent;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The copies of starts that one worker may still execute, by attempt.
 *
 * <p>The same start may leave several times: in a direct order, and in responses to reports until one of them shows the
 * attempt. A direct order may be executed minutes late; a response is executed before the worker's next report, or
 * never. Until none of its copies is outstanding, an attempt that has ended must stay known to the worker, since a copy
 * that arrives after its removal runs it again; and its task must not go elsewhere on the ground that the machine is
 * silent.
 */
final class OutstandingStarts {
    /** In the direct order under way: how that ends is not known yet. */
    private final Set<Attempt> inCall = new HashSet<>();
    /** In a direct order that was not answered: it may be executed as long as the worker's session lasts. */
    private final Set<Attempt> unanswered = new HashSet<>();
    /** In responses, with the counter of the last report that was answered so. */
    private final Map<Attempt, Long> inResponses = new HashMap<>();

    /** A direct order leaves; there is one at a time. */
    void sentDirectly(Collection<Attempt> starts) {
        inCall.addAll(starts);
    }

    /** The direct order was executed or refused: none of its starts comes later. */
    void callAnswered() {
        inCall.clear();
    }

    /** Nobody knows whether the direct order was executed, or will be. */
    void callUnanswered() {
        unanswered.addAll(inCall);
        inCall.clear();
    }

    /** A start leaves in the response to a report. */
    void sentInResponse(Attempt start, long counter) {
        inResponses.put(start, counter);
    }

    /** The worker has made a report: it has one under way at a time, so it waits for no response to an earlier one. */
    void heartbeatReceived(long counter) {
        inResponses.values().removeIf(answered -> answered < counter);
    }

    /** The worker has begun another session: it drops what names an earlier one. */
    void epochEnded() {
        inCall.clear();
        unanswered.clear();
        inResponses.clear();
    }

    /** The machine has a new worker, which counts its sessions anew: direct orders to the former one may reach it. */
    void agentReplaced() {
        inResponses.clear();
    }

    /** Whether a start is in the direct order under way. */
    boolean inFlight(Attempt start) {
        return inCall.contains(start);
    }

    /** Whether a direct order with the start was not answered. */
    boolean unanswered(Attempt start) {
        return unanswered.contains(start);
    }

    /** Whether a direct order may still start the attempt, however late. */
    boolean mayArriveLate(Attempt start) {
        return inCall.contains(start) || unanswered.contains(start);
    }

    /** Whether any copy of the start may still be executed. */
    boolean mayArrive(Attempt start) {
        return mayArriveLate(start) || inResponses.containsKey(start);
    }

    /** Whether no copy of any start is outstanding. */
    boolean isEmpty() {
        return inCall.isEmpty() && unanswered.isEmpty() && inResponses.isEmpty();
    }
}
