package io.quartzgw.store;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Calls to the state service that wait for this node's share of the service's limits. Urgent calls go first, but a
 * change that has waited for a while goes before urgent ones that came later. Calls that change nothing need only the
 * budget of requests, so they do not wait behind changes that lack the budget of changes.
 */
final class RequestQueue {
    /** A stage with a small buffer: calls of normal urgency that wait longer than this are refused. */
    private static final int MAX_QUEUE_MS = 700;

    /** A change that has waited for this much longer than an urgent one goes before it. */
    private static final int URGENT_AHEAD_MS = (int) (0.4 * MAX_QUEUE_MS);

    private static final int TOO_MANY_REQUESTS = 429;

    private final EventLoop eventLoop;
    private final Consumer<Reply> observer;
    private final TokenBucket requestBudget;
    private final TokenBucket writeBudget;
    private final Deque<QueuedCall> urgentReads = new ArrayDeque<>();
    private final Deque<QueuedCall> urgentWrites = new ArrayDeque<>();
    private final Deque<QueuedCall> normalReads = new ArrayDeque<>();
    private final Deque<QueuedCall> normalWrites = new ArrayDeque<>();
    private final Deque<QueuedCall> backgroundWrites = new ArrayDeque<>();
    private EventLoop.Timer retry;
    private long retryAt = Long.MAX_VALUE;
    private int submittedWrites;
    /** The changes that waited when {@link #takeWriteDemand} was last asked. */
    private int previouslyQueuedWrites;

    private record QueuedCall(Call call, int writes, long queuedAt, Consumer<Reply> callback) {}

    /**
     * @param share the part of the service's limits that this node may use
     * @param observer told of every reply before the caller is
     */
    RequestQueue(EventLoop eventLoop, StoreLimits share, Consumer<Reply> observer) {
        this.eventLoop = eventLoop;
        this.observer = observer;
        this.requestBudget = new TokenBucket(share.requestsPerS(), eventLoop.nowMs());
        this.writeBudget = new TokenBucket(share.writesPerS(), eventLoop.nowMs());
    }

    /** Sends a call when its turn comes; the caller gets exactly one reply. */
    void submit(Call call, int writeCount, RequestUrgency urgency, Consumer<Reply> callback) {
        QueuedCall waiting = new QueuedCall(call, writeCount, eventLoop.nowMs(), callback);
        submittedWrites += writeCount;
        queueFor(writeCount == 0, urgency).addLast(waiting);
        drain();
    }

    private Deque<QueuedCall> queueFor(boolean readsOnly, RequestUrgency urgency) {
        if (readsOnly) {
            return urgency == RequestUrgency.HIGH ? urgentReads : normalReads;
        }
        return switch (urgency) {
            case HIGH -> urgentWrites;
            case NORMAL -> normalWrites;
            case BACKGROUND -> backgroundWrites;
        };
    }

    /** Grants this node more changes a second until a moment, in place of what was granted before. */
    void applyWriteGrant(double perS, long until) {
        writeBudget.grant(perS, until, eventLoop.nowMs());
        drain();
    }

    /** How many changes a second this node may make now. */
    double writesPerS() {
        return writeBudget.ratePerS(eventLoop.nowMs());
    }

    /** How many changes wait or were asked for since this was last asked. */
    int takeWriteDemand() {
        int wanted = submittedWrites + previouslyQueuedWrites;
        submittedWrites = 0;
        previouslyQueuedWrites = 0;
        for (Deque<QueuedCall> queue : List.of(urgentWrites, normalWrites, backgroundWrites)) {
            queue.forEach(waiting -> previouslyQueuedWrites += waiting.writes);
        }
        return wanted;
    }

    private void drain() {
        rejectOverdue(normalReads);
        rejectOverdue(normalWrites);
        sendAll(urgentReads);
        sendWrites();
        // Last, so that many questions starve no submission: there are far fewer changes than requests to spend.
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
        // Guards starts against a stream of submissions: they may have to wait for a write that was not urgent.
        if (overdue(backgroundWrites)) {
            return backgroundWrites;
        }
        if (urgentWrites.isEmpty() || normalWrites.isEmpty()) {
            return !urgentWrites.isEmpty() ? urgentWrites : !normalWrites.isEmpty() ? normalWrites : backgroundWrites;
        }
        // Guards submissions against a leader that always has something urgent to write.
        long urgentSince = urgentWrites.peekFirst().queuedAt;
        long changeSince = normalWrites.peekFirst().queuedAt;
        return changeSince + URGENT_AHEAD_MS < urgentSince ? normalWrites : urgentWrites;
    }

    private boolean overdue(Deque<QueuedCall> queue) {
        return !queue.isEmpty() && eventLoop.nowMs() - queue.peekFirst().queuedAt > MAX_QUEUE_MS;
    }

    private void rejectOverdue(Deque<QueuedCall> queue) {
        while (overdue(queue)) {
            QueuedCall overdue = queue.pollFirst();
            eventLoop.increment("store.refused", 1);
            // Deferred, so that a refusal never runs inside the caller's own call.
            eventLoop.after(0, () -> overdue.callback.accept(new Reply(TOO_MANY_REQUESTS, new byte[0])));
        }
    }

    private void sendAll(Deque<QueuedCall> queue) {
        while (!queue.isEmpty() && sendNext(queue)) {
            continue;
        }
    }

    /** Sends the first of a queue, or says that it has to wait. */
    private boolean sendNext(Deque<QueuedCall> queue) {
        QueuedCall next = queue.peekFirst();
        long now = eventLoop.nowMs();
        long wait = Math.max(
                requestBudget.waitMsFor(1, now), next.writes == 0 ? 0 : writeBudget.waitMsFor(next.writes, now));
        if (wait > 0) {
            retryAfter(wait);
            return false;
        }
        send(queue.pollFirst());
        return true;
    }

    private void send(QueuedCall next) {
        requestBudget.take(1, eventLoop.nowMs());
        writeBudget.take(next.writes, eventLoop.nowMs());
        eventLoop.increment("store.requests", 1);
        eventLoop.increment("store.writes", next.writes);
        eventLoop.call(next.call, reply -> {
            observer.accept(reply);
            next.callback.accept(reply);
        });
    }

    private void retryAfter(long delayMs) {
        long at = eventLoop.nowMs() + delayMs;
        if (at >= retryAt) {
            return;
        }
        if (retry != null) {
            retry.cancel();
        }
        retryAt = at;
        retry = eventLoop.after(delayMs, () -> {
            retryAt = Long.MAX_VALUE;
            drain();
        });
    }
}
