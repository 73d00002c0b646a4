package io.quartzgw.store;

import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import io.quartzgw.loop.Kernel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Calls to the state service that wait for this node's share of the service's limits. Urgent calls go first, but a
 * change that has waited for a while goes before urgent ones that came later. Calls that change nothing need only the
 * budget of requests, so they do not wait behind changes that lack the budget of changes.
 */
final class CallQueue {
    /** A stage with a small buffer: calls of normal urgency that wait longer than this are refused. */
    private static final int MAX_QUEUE_MS = 700;

    /** A change that has waited for this much longer than an urgent one goes before it. */
    private static final int URGENT_AHEAD_MS = (int) (0.4 * MAX_QUEUE_MS);

    private static final int REFUSED = 429;

    private final Kernel kernel;
    private final Consumer<Reply> observer;
    private final RateBudget requests;
    private final RateBudget writes;
    private final Deque<Waiting> urgentReads = new ArrayDeque<>();
    private final Deque<Waiting> urgentWrites = new ArrayDeque<>();
    private final Deque<Waiting> reads = new ArrayDeque<>();
    private final Deque<Waiting> changes = new ArrayDeque<>();
    private final Deque<Waiting> lastWrites = new ArrayDeque<>();
    private Kernel.Timer retry;
    private long retryAt = Long.MAX_VALUE;
    private int submittedWrites;
    /** The changes that waited when {@link #takeWantedWrites} was last asked. */
    private int waitingBefore;

    private record Waiting(Call call, int writes, long since, Consumer<Reply> then) {}

    /**
     * @param share the part of the service's limits that this node may use
     * @param observer told of every reply before the caller is
     */
    CallQueue(Kernel kernel, StoreLimits share, Consumer<Reply> observer) {
        this.kernel = kernel;
        this.observer = observer;
        this.requests = new RateBudget(share.requestsPerS(), kernel.now());
        this.writes = new RateBudget(share.writesPerS(), kernel.now());
    }

    /** Sends a call when its turn comes; the caller gets exactly one reply. */
    void submit(Call call, int writeCount, Urgency urgency, Consumer<Reply> then) {
        Waiting waiting = new Waiting(call, writeCount, kernel.now(), then);
        submittedWrites += writeCount;
        queueFor(writeCount == 0, urgency).addLast(waiting);
        drain();
    }

    private Deque<Waiting> queueFor(boolean readsOnly, Urgency urgency) {
        if (readsOnly) {
            return urgency == Urgency.FIRST ? urgentReads : reads;
        }
        return switch (urgency) {
            case FIRST -> urgentWrites;
            case NORMAL -> changes;
            case LAST -> lastWrites;
        };
    }

    /** Lends this node more changes a second until a moment, in place of what was lent before. */
    void lendWrites(double perS, long until) {
        writes.lend(perS, until, kernel.now());
        drain();
    }

    /** How many changes a second this node may make now. */
    double writesPerS() {
        return writes.perS(kernel.now());
    }

    /** How many changes wait or were asked for since this was last asked. */
    int takeWantedWrites() {
        int wanted = submittedWrites + waitingBefore;
        submittedWrites = 0;
        waitingBefore = 0;
        for (Deque<Waiting> queue : List.of(urgentWrites, changes, lastWrites)) {
            queue.forEach(waiting -> waitingBefore += waiting.writes);
        }
        return wanted;
    }

    private void drain() {
        refuseOverdue(reads);
        refuseOverdue(changes);
        sendAll(urgentReads);
        sendWrites();
        // Last, so that many questions starve no submission: there are far fewer changes than requests to spend.
        if (urgentReads.isEmpty()) {
            sendAll(reads);
        }
    }

    private void sendWrites() {
        for (Deque<Waiting> queue = nextWrites(); !queue.isEmpty(); queue = nextWrites()) {
            if (!sendNext(queue)) {
                return;
            }
        }
    }

    private Deque<Waiting> nextWrites() {
        // Guards starts against a stream of submissions: they may have to wait for a write that was not urgent.
        if (overdue(lastWrites)) {
            return lastWrites;
        }
        if (urgentWrites.isEmpty() || changes.isEmpty()) {
            return !urgentWrites.isEmpty() ? urgentWrites : !changes.isEmpty() ? changes : lastWrites;
        }
        // Guards submissions against a leader that always has something urgent to write.
        long urgentSince = urgentWrites.peekFirst().since;
        long changeSince = changes.peekFirst().since;
        return changeSince + URGENT_AHEAD_MS < urgentSince ? changes : urgentWrites;
    }

    private boolean overdue(Deque<Waiting> queue) {
        return !queue.isEmpty() && kernel.now() - queue.peekFirst().since > MAX_QUEUE_MS;
    }

    private void refuseOverdue(Deque<Waiting> queue) {
        while (overdue(queue)) {
            Waiting overdue = queue.pollFirst();
            kernel.count("store.refused", 1);
            // Deferred, so that a refusal never runs inside the caller's own call.
            kernel.after(0, () -> overdue.then.accept(new Reply(REFUSED, new byte[0])));
        }
    }

    private void sendAll(Deque<Waiting> queue) {
        while (!queue.isEmpty() && sendNext(queue)) {
            continue;
        }
    }

    /** Sends the first of a queue, or says that it has to wait. */
    private boolean sendNext(Deque<Waiting> queue) {
        Waiting next = queue.peekFirst();
        long now = kernel.now();
        long wait = Math.max(requests.waitFor(1, now), next.writes == 0 ? 0 : writes.waitFor(next.writes, now));
        if (wait > 0) {
            retryAfter(wait);
            return false;
        }
        send(queue.pollFirst());
        return true;
    }

    private void send(Waiting next) {
        requests.take(1, kernel.now());
        writes.take(next.writes, kernel.now());
        kernel.count("store.requests", 1);
        kernel.count("store.writes", next.writes);
        kernel.call(next.call, reply -> {
            observer.accept(reply);
            next.then.accept(reply);
        });
    }

    private void retryAfter(long delayMs) {
        long at = kernel.now() + delayMs;
        if (at >= retryAt) {
            return;
        }
        if (retry != null) {
            retry.cancel();
        }
        retryAt = at;
        retry = kernel.after(delayMs, () -> {
            retryAt = Long.MAX_VALUE;
            drain();
        });
    }
}
