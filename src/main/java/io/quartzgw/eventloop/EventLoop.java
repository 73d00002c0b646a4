package io.quartzgw.eventloop;

import io.quartzgw.http.Call;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import java.util.ArrayList;
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
 * Time, timers, outbound calls and seeded randomness for the slices of one node.
 *
 * <p>Everything runs inside {@link #processBatch}: the same commands at the same times give the same effects. No method
 * may be called from any thread but the caller of {@code handle}.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private final SplittableRandom random;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<Long, Consumer<Reply>> pendingCalls = new HashMap<>();
    private final List<Runnable> batchEndListeners = new ArrayList<>();
    private Consumer<Request> router = request -> {};
    private List<Effect> pendingEffects = new ArrayList<>();
    private ClockReading time = new ClockReading(0, 0);
    private long sequence;
    private long failures;
    private final Map<String, Long> counters = new TreeMap<>();

    public EventLoop(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Names the receiver of inbound requests. */
    public void onRequest(Consumer<Request> receiver) {
        this.router = receiver;
    }

    /** Adds work to be done once at the end of every batch, when all its commands were applied. */
    public void onBatchEnd(Runnable work) {
        batchEndListeners.add(work);
    }

    public long nowMs() {
        return time.steadyMs();
    }

    public long wallClockMs() {
        return time.wallClockMs();
    }

    public SplittableRandom random() {
        return random;
    }

    /** Schedules a task; tasks due at the same time run in the order in which they were scheduled. */
    public Timer after(long delayMs, Runnable task) {
        Timer timer = new Timer(nowMs() + Math.max(0, delayMs), ++sequence, task);
        timers.add(timer);
        return timer;
    }

    /** Repeats a task, first after one period, for the life of the process. */
    public void every(long periodMs, Runnable task) {
        after(periodMs, () -> {
            every(periodMs, task);
            task.run();
        });
    }

    /** Starts an outbound call whose reply, or failure, is passed to {@code then} in a later batch. */
    public void call(Call call, Consumer<Reply> callback) {
        long id = ++sequence;
        pendingCalls.put(id, callback);
        pendingEffects.add(new Effect.Send(id, call));
    }

    public void answer(long exchange, Response response) {
        pendingEffects.add(new Effect.Answer(exchange, response));
    }

    /** Applies a batch of commands and the timers that are due, and returns what is to be done. */
    public List<Effect> processBatch(List<Command> batch, ClockReading now) {
        time = now;
        for (Command command : batch) {
            runGuarded(() -> apply(command));
        }
        while (!timers.isEmpty() && timers.peek().due <= time.steadyMs()) {
            Timer timer = timers.poll();
            if (!timer.cancelled) {
                runGuarded(timer.task);
            }
        }
        batchEndListeners.forEach(this::runGuarded);
        List<Effect> effects = pendingEffects;
        pendingEffects = new ArrayList<>();
        return effects;
    }

    /** When {@link #processBatch} has to be called again at the latest, or {@code Long.MAX_VALUE}. */
    public long nextTimerAt() {
        while (!timers.isEmpty() && timers.peek().cancelled) {
            timers.poll();
        }
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().due;
    }

    /** How many commands and tasks have failed; each is a defect. */
    public long failures() {
        return failures;
    }

    /** Counts something that operators may want to see: what each duty costs is a matter of how often. */
    public void increment(String counter, long amount) {
        counters.merge(counter, amount, Long::sum);
    }

    /** All counts so far, by name. */
    public Map<String, Long> counters() {
        return counters;
    }

    private void apply(Command command) {
        if (command instanceof Command.Arrived arrived) {
            router.accept(arrived.request());
        } else if (command instanceof Command.CallEnded ended) {
            Consumer<Reply> callback = pendingCalls.remove(ended.call());
            if (callback != null) {
                callback.accept(ended.reply());
            }
        }
    }

    // Guards the process against a defect in one command's handling: a scheduler that dies of one
    // strange message would die of it again on every node.
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failures++;
            LOG.error("a command failed", e);
        }
    }

    /** A task due at a moment; may be cancelled. */
    public static final class Timer implements Comparable<Timer> {
        private final long due;
        private final long order;
        private final Runnable task;
        private boolean cancelled;

        private Timer(long due, long order, Runnable task) {
            this.due = due;
            this.order = order;
            this.task = task;
        }

        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(Timer other) {
            int byDue = Long.compare(due, other.due);
            return byDue != 0 ? byDue : Long.compare(order, other.order);
        }
    }
}
