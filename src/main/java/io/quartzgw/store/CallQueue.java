package io.quartzgw.store;

import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import io.quartzgw.loop.Kernel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Calls to the state service that wait for this node's share of the service's limits. Urgent calls go first. Calls that
 * change nothing need only the budget of requests, so they do not wait behind changes that lack the budget of changes.
 */
final class CallQueue {
    /** A stage with a small buffer: what is not urgent and waits longer than this is refused. */
    private static final int MAX_QUEUE_MS = 700;

    private static final int REFUSED = 429;

    private final Kernel kernel;
    private final Consumer<Reply> observer;
    private final RateBudget requests;
    private final RateBudget writes;
    private final Deque<Waiting> urgentReads = new ArrayDeque<>();
    private final Deque<Waiting> urgentWrites = new ArrayDeque<>();
    private final Deque<Waiting> reads = new ArrayDeque<>();
    private final Deque<Waiting> changes = new ArrayDeque<>();
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
        boolean urgent = urgency == Urgency.FIRST;
        submittedWrites += writeCount;
        if (writeCount == 0) {
            (urgent ? urgentReads : reads).addLast(waiting);
        } else {
            (urgent ? urgentWrites : changes).addLast(waiting);
        }
        drain();
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
        urgentWrites.forEach(waiting -> waitingBefore += waiting.writes);
        changes.forEach(waiting -> waitingBefore += waiting.writes);
        return wanted;
    }

    private void drain() {
        refuseOverdue(reads);
        refuseOverdue(changes);
        sendAll(urgentReads);
        sendAll(urgentWrites);
        if (urgentWrites.isEmpty()) {
            sendAll(changes);
        }
        // Last, so that many questions starve no submission: there are far fewer changes than requests to spend.
        if (urgentReads.isEmpty()) {
            sendAll(reads);
        }
    }

    private void refuseOverdue(Deque<Waiting> queue) {
        while (!queue.isEmpty() && kernel.now() - queue.peekFirst().since > MAX_QUEUE_MS) {
            Waiting overdue = queue.pollFirst();
            kernel.count("store.refused", 1);
            // Deferred, so that a refusal never runs inside the caller's own call.
            kernel.after(0, () -> overdue.then.accept(new Reply(REFUSED, new byte[0])));
        }
    }

    private void sendAll(Deque<Waiting> queue) {
        while (!queue.isEmpty()) {
            Waiting next = queue.peekFirst();
            long now = kernel.now();
            long wait = Math.max(requests.waitFor(1, now), next.writes == 0 ? 0 : writes.waitFor(next.writes, now));
            if (wait > 0) {
                retryAfter(wait);
                return;
            }
            send(queue.pollFirst());
        }
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
