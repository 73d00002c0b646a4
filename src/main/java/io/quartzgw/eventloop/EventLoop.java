package io.quartzgw.eventloop;

import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The deterministic core of one controller: time, timers, outbound calls, counters and seeded randomness.
 *
 * <p>Everything runs inside {@link #processBatch}: the same events at the same times give the same effects. No method
 * may be called from any other thread than the caller of {@code processBatch}.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private final SplittableRandom random;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<Long, Consumer<Reply>> pendingCalls = new HashMap<>();
    private final List<Runnable> batchBeginListeners = new ArrayList<>();
    private final List<Runnable> batchEndListeners = new ArrayList<>();
    /** Tasks to run after this batch's events and timers, in the order in which they were added. */
    private final Deque<Runnable> afterEvents = new ArrayDeque<>();

    private Consumer<Request> requestHandler = request -> {};
    private List<Effect> pendingEffects = new ArrayList<>();
    private ClockReading clock = new ClockReading(0, 0);
    private long lastSequence;
    private long failedEvents;
    private final Map<String, Long> counters = new TreeMap<>();

    public EventLoop(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Sets the handler of inbound requests. */
    public void onRequest(Consumer<Request> handler) {
        this.requestHandler = handler;
    }

    /** Adds a listener that runs once at the beginning of every batch, before any of its events are applied. */
    public void onBatchBegin(Runnable listener) {
        batchBeginListeners.add(listener);
    }

    /** Adds a listener that runs once at the end of every batch, after all its events were applied. */
    public void onBatchEnd(Runnable listener) {
        batchEndListeners.add(listener);
    }

    /**
     * Runs a task once, after all events and timers of this batch and before its end listeners. Used for messages that
     * must reflect all events of the batch.
     */
    public void afterEvents(Runnable task) {
        afterEvents.addLast(task);
    }

    public long nowMs() {
        return clock.steadyMs();
    }

    public long wallClockMs() {
        return clock.wallClockMs();
    }

    public SplittableRandom random() {
        return random;
    }

    /** Schedules a task; tasks due at the same time run in the order in which they were scheduled. */
    public Timer after(long delayMs, Runnable task) {
        Timer timer = new Timer(nowMs() + Math.max(0, delayMs), ++lastSequence, task);
        timers.add(timer);
        return timer;
    }

    /** Runs a task periodically for the life of the process, first after one period. */
    public void every(long periodMs, Runnable task) {
        after(periodMs, () -> {
            every(periodMs, task);
            task.run();
        });
    }

    /** Starts an outbound call whose reply, or failure, is passed to {@code callback} in a later batch. */
    public void call(Call call, Consumer<Reply> callback) {
        call(call, Effect.ALWAYS_VALID, callback);
    }

    /** As {@link #call(Call, Consumer)}, but the call is only sent before the given time. */
    public void call(Call call, long validUntilMs, Consumer<Reply> callback) {
        long id = ++lastSequence;
        pendingCalls.put(id, callback);
        pendingEffects.add(new Effect.Send(id, call, validUntilMs));
    }

    /** Answers an inbound request. */
    public void answer(long exchange, Response response) {
        answer(exchange, response, Effect.ALWAYS_VALID);
    }

    /** As {@link #answer(long, Response)}, but the response is only sent before the given time. */
    public void answer(long exchange, Response response, long validUntilMs) {
        pendingEffects.add(new Effect.Answer(exchange, response, validUntilMs));
    }

    /** Applies a batch of events and the timers that are due, and returns the effects to carry out. */
    public List<Effect> processBatch(List<LoopEvent> batch, ClockReading now) {
        clock = now;
        batchBeginListeners.forEach(this::runGuarded);
        for (LoopEvent event : batch) {
            runGuarded(() -> apply(event));
        }
        while (!timers.isEmpty() && timers.peek().dueMs <= clock.steadyMs()) {
            Timer timer = timers.poll();
            if (!timer.cancelled) {
                runGuarded(timer.task);
            }
        }
        while (!afterEvents.isEmpty()) {
            runGuarded(afterEvents.pollFirst());
        }
        batchEndListeners.forEach(this::runGuarded);
        List<Effect> effects = pendingEffects;
        pendingEffects = new ArrayList<>();
        return effects;
    }

    /** The time by which {@link #processBatch} must be called again, or {@code Long.MAX_VALUE} if no timer is set. */
    public long nextTimerAt() {
        while (!timers.isEmpty() && timers.peek().cancelled) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueMs;
    }

    /** The number of events and tasks that threw an exception. Each one is a defect. */
    public long failedEvents() {
        return failedEvents;
    }

    /**
     * Increments a counter that is exported as a metric. Counters show how often each operation runs, which determines
     * its cost.
     */
    public void increment(String counter, long amount) {
        counters.merge(counter, amount, Long::sum);
    }

    /** Sets a gauge, which is exported among the counters. */
    public void setGauge(String name, long value) {
        counters.put(name, value);
    }

    /** All counters and gauges by name. */
    public Map<String, Long> counters() {
        return counters;
    }

    private void apply(LoopEvent event) {
        if (event instanceof LoopEvent.RequestReceived received) {
            requestHandler.accept(received.request());
        } else if (event instanceof LoopEvent.CallEnded ended) {
            Consumer<Reply> callback = pendingCalls.remove(ended.call());
            if (callback != null) {
                callback.accept(ended.reply());
            }
        }
    }

    // A defect must not end the process: a message that crashes one controller would crash every other one that
    // receives it.
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failedEvents++;
            LOG.atError().setCause(e).log("event handler failed");
        }
    }

    /** A scheduled task that can be cancelled. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueMs;
        private final long sequence;
        private final Runnable task;
        private boolean cancelled;

        private Timer(long dueMs, long sequence, Runnable task) {
            this.dueMs = dueMs;
            this.sequence = sequence;
            this.task = task;
        }

        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(Timer other) {
            int byDueTime = Long.compare(dueMs, other.dueMs);
            return byDueTime != 0 ? byDueTime : Long.compare(sequence, other.sequence);
        }
    }
}
