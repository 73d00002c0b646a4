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
 * Calls to the state store that wait for this controller's share of the store's limits. Urgent calls go first, those of
 * elections before all, but a write that has waited for a while goes before urgent ones that came later. Reads need
 * only the budget of requests, so they do not wait behind writes that lack the budget of writes.
 */
final class RequestQueue {
    /** Calls of normal urgency that wait longer than this are rejected. */
    private static final int MAX_QUEUE_MS = 700;

    /** A write that has waited for this much longer than an urgent one goes before it. */
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
    /** The writes that were queued when {@link #takeWriteDemand} was last called. */
    private int previouslyQueuedWrites;

    /** A call that waits for its turn. */
    private record QueuedCall(Call call, int writeCount, long queuedAtMs, Consumer<Reply> callback) {}

    /**
     * @param share the part of the store's limits that this controller may use
     * @param replyObserver receives every reply of the store before the caller does
     */
    RequestQueue(EventLoop eventLoop, StoreLimits share, Consumer<Reply> replyObserver) {
        this.eventLoop = eventLoop;
        this.replyObserver = replyObserver;
        this.requestBudget = new TokenBucket(share.requestsPerS(), eventLoop.nowMs());
        this.writeBudget = new TokenBucket(share.writesPerS(), eventLoop.nowMs());
    }

    /** Sends a call when its turn comes; the caller gets exactly one reply. */
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

    /** Grants this controller more writes a second until a moment, in place of the grant before. */
    void applyWriteGrant(double writesPerS, long untilMs) {
        writeBudget.grant(writesPerS, untilMs, eventLoop.nowMs());
        drain();
    }

    /** How many writes a second this controller may make now. */
    double writesPerS() {
        return writeBudget.ratePerS(eventLoop.nowMs());
    }

    /** How many writes were queued or submitted since this method was last called. */
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
        // Last, so that many reads starve no write: the budget of writes is far smaller than that of requests.
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
        // Guards starts against a stream of submissions: they may have to wait for a write that was not urgent.
        if (isHeadOverdue(backgroundWrites)) {
            return backgroundWrites;
        }
        if (urgentWrites.isEmpty()) {
            return normalWrites.isEmpty() ? backgroundWrites : normalWrites;
        }
        if (normalWrites.isEmpty()) {
            return urgentWrites;
        }
        // Guards submissions against a leader that always has something urgent to write.
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
            // Deferred, so that a rejection never runs inside the caller's own call.
            eventLoop.after(0, () -> rejected.callback().accept(new Reply(TOO_MANY_REQUESTS, new byte[0])));
        }
    }

    private void sendAll(Deque<QueuedCall> queue) {
        boolean withinBudget = true;
        while (withinBudget && !queue.isEmpty()) {
            withinBudget = sendNext(queue);
        }
    }

    /** Sends the first call of a queue, or schedules the next attempt and returns false when the budget is short. */
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
