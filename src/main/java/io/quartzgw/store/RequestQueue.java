package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Queues calls to the state service until this controller's share of the service's limits allows them. Calls for
 * elections go first, then other urgent calls. A less urgent write that has waited for some time goes before urgent
 * writes that were queued later. Reads only use the request budget, so they do not wait behind writes that lack write
 * budget.
 */
final class RequestQueue {
    /**
     * Calls of normal urgency are rejected after this time in the queue; background writes then go before urgent ones.
     */
    private static final int MAX_QUEUE_MS = 700;

    /** A normal write that was queued earlier than an urgent one by more than this goes first. */
    private static final int URGENT_HEAD_START_MS = (int) (0.4 * MAX_QUEUE_MS);

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    private static final int TOO_MANY_REQUESTS = 429;

    private final EventLoop eventLoop;
    private final Consumer<Reply> replyObserver;
    private final TokenBucket requestBudget;
    private final TokenBucket writeBudget;
    private final Deque<QueuedCall> electionReads = new ArrayDeque<>();
    private final Deque<QueuedCall> electionWrites = new ArrayDeque<>();
    private final Deque<QueuedCall> urgentReads = new ArrayDeque<>();
    private final Deque<QueuedCall> urgentWrites = new ArrayDeque<>();
    private final Deque<QueuedCall> normalReads = new ArrayDeque<>();
    private final Deque<QueuedCall> normalWrites = new ArrayDeque<>();
    private final Deque<QueuedCall> backgroundWrites = new ArrayDeque<>();
    private Optional<EventLoop.Timer> drainTimer = Optional.empty();
    private long drainAtMs = NOT_SCHEDULED;
    private int submittedWrites;
    /** Number of writes in the queues when {@link #takeWriteDemand} was last called. */
    private int previouslyQueuedWrites;

    /** A call that waits for budget. */
    private record QueuedCall(Call call, int writeCount, long queuedAtMs, Consumer<Reply> callback) {}

    /**
     * @param share this controller's share of the state service's limits
     * @param replyObserver receives every reply before the caller does
     */
    RequestQueue(EventLoop eventLoop, StoreLimits share, Consumer<Reply> replyObserver) {
        this.eventLoop = eventLoop;
        this.replyObserver = replyObserver;
        this.requestBudget = new TokenBucket(share.requestsPerS(), eventLoop.nowMs());
        this.writeBudget = new TokenBucket(share.writesPerS(), eventLoop.nowMs());
    }

    /** Sends a call as soon as the budget allows. The callback gets exactly one reply. */
    void submit(Call call, int writeCount, RequestUrgency urgency, Consumer<Reply> callback) {
        submittedWrites += writeCount;
        queueFor(writeCount == 0, urgency).addLast(new QueuedCall(call, writeCount, eventLoop.nowMs(), callback));
        drain();
    }

    private Deque<QueuedCall> queueFor(boolean readOnly, RequestUrgency urgency) {
        return switch (urgency) {
            case ELECTION -> readOnly ? electionReads : electionWrites;
            case HIGH -> readOnly ? urgentReads : urgentWrites;
            case NORMAL -> readOnly ? normalReads : normalWrites;
            case BACKGROUND -> readOnly ? normalReads : backgroundWrites;
        };
    }

    /** Adds a granted write rate until the given time. It replaces the previous grant. */
    void applyWriteGrant(double writesPerS, long untilMs) {
        writeBudget.grant(writesPerS, untilMs, eventLoop.nowMs());
        drain();
    }

    /** The current limit on this controller's writes per second. */
    double writesPerS() {
        return writeBudget.ratePerS(eventLoop.nowMs());
    }

    /**
     * Returns the number of writes submitted since the last call, plus those that were queued at the time of that call.
     */
    int takeWriteDemand() {
        int demand = submittedWrites + previouslyQueuedWrites;
        submittedWrites = 0;
        previouslyQueuedWrites = 0;
        for (Deque<QueuedCall> queue : List.of(electionWrites, urgentWrites, normalWrites, backgroundWrites)) {
            queue.forEach(queued -> previouslyQueuedWrites += queued.writeCount());
        }
        return demand;
    }

    private void drain() {
        rejectOverdue(normalReads);
        rejectOverdue(normalWrites);
        sendAll(electionReads);
        sendAll(urgentReads);
        sendWrites();
        // Normal reads come last so that they do not starve writes, whose budget is far smaller than the request
        // budget.
        if (urgentReads.isEmpty()) {
            sendAll(normalReads);
        }
    }

    private void sendWrites() {
        for (Deque<QueuedCall> queue = nextWriteQueue(); !queue.isEmpty(); queue = nextWriteQueue()) {
            if (!sendNext(queue)) {
                return;
            }
        }
    }

    private Deque<QueuedCall> nextWriteQueue() {
        if (!electionWrites.isEmpty()) {
            return electionWrites;
        }
        // Prevents a stream of submissions from starving background writes, since a start may depend on one of them.
        if (isHeadOverdue(backgroundWrites)) {
            return backgroundWrites;
        }
        if (urgentWrites.isEmpty()) {
            return normalWrites.isEmpty() ? backgroundWrites : normalWrites;
        }
        if (normalWrites.isEmpty()) {
            return urgentWrites;
        }
        // Prevents a leader that always has urgent writes from starving submissions.
        long urgentSinceMs = urgentWrites.peekFirst().queuedAtMs();
        long normalSinceMs = normalWrites.peekFirst().queuedAtMs();
        return normalSinceMs + URGENT_HEAD_START_MS < urgentSinceMs ? normalWrites : urgentWrites;
    }

    private boolean isHeadOverdue(Deque<QueuedCall> queue) {
        return !queue.isEmpty() && eventLoop.nowMs() - queue.peekFirst().queuedAtMs() > MAX_QUEUE_MS;
    }

    private void rejectOverdue(Deque<QueuedCall> queue) {
        while (isHeadOverdue(queue)) {
            QueuedCall rejected = queue.pollFirst();
            eventLoop.increment("store.refused", 1);
            // Deferred, so that the callback never runs inside the caller's call of submit().
            eventLoop.after(0, () -> rejected.callback().accept(new Reply(TOO_MANY_REQUESTS, new byte[0])));
        }
    }

    private void sendAll(Deque<QueuedCall> queue) {
        boolean withinBudget = true;
        while (withinBudget && !queue.isEmpty()) {
            withinBudget = sendNext(queue);
        }
    }

    /** Sends the first call of a queue. If the budget is insufficient, schedules the next attempt and returns false. */
    private boolean sendNext(Deque<QueuedCall> queue) {
        QueuedCall queued = queue.peekFirst();
        long waitMs = waitMsFor(queued);
        if (waitMs > 0) {
            scheduleDrain(waitMs);
            return false;
        }
        queue.pollFirst();
        send(queued);
        return true;
    }

    private long waitMsFor(QueuedCall queued) {
        long nowMs = eventLoop.nowMs();
        long requestWaitMs = requestBudget.waitMsFor(1, nowMs);
        long writeWaitMs = queued.writeCount() == 0 ? 0 : writeBudget.waitMsFor(queued.writeCount(), nowMs);
        return Math.max(requestWaitMs, writeWaitMs);
    }

    private void send(QueuedCall queued) {
        requestBudget.take(1, eventLoop.nowMs());
        writeBudget.take(queued.writeCount(), eventLoop.nowMs());
        eventLoop.increment("store.requests", 1);
        eventLoop.increment("store.writes", queued.writeCount());
        eventLoop.call(queued.call(), reply -> {
            replyObserver.accept(reply);
            queued.callback().accept(reply);
        });
    }

    private void scheduleDrain(long delayMs) {
        long atMs = eventLoop.nowMs() + delayMs;
        if (atMs >= drainAtMs) {
            return;
        }
        drainTimer.ifPresent(EventLoop.Timer::cancel);
        drainAtMs = atMs;
        drainTimer = Optional.of(eventLoop.after(delayMs, () -> {
            drainAtMs = NOT_SCHEDULED;
            drain();
        }));
    }
}
