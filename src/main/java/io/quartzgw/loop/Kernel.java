package io.quartzgw.loop;

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
 * <p>Everything runs inside {@link #handle}: the same commands at the same times give the same effects. No method may
 * be called from any thread but the caller of {@code handle}.
 */
public final class Kernel {
    private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);

    private final SplittableRandom random;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<Long, Consumer<Reply>> awaited = new HashMap<>();
    private final List<Runnable> afterBatch = new ArrayList<>();
    private Consumer<Request> router = request -> {};
    private List<Effect> effects = new ArrayList<>();
    private Time time = new Time(0, 0);
    private long sequence;
    private long failures;
    private final Map<String, Long> counts = new TreeMap<>();

    public Kernel(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Names the receiver of inbound requests. */
    public void route(Consumer<Request> receiver) {
        this.router = receiver;
    }

    /** Adds work to be done once at the end of every batch, when all its commands were applied. */
    public void afterEachBatch(Runnable work) {
        afterBatch.add(work);
    }

    public long now() {
        return time.steady();
    }

    public long wallClock() {
        return time.wall();
    }

    public SplittableRandom random() {
        return random;
    }

    /** Schedules a task; tasks due at the same time run in the order in which they were scheduled. */
    public Timer after(long delayMs, Runnable task) {
        Timer timer = new Timer(now() + Math.max(0, delayMs), ++sequence, task);
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
    public void call(Call call, Consumer<Reply> then) {
        long id = ++sequence;
        awaited.put(id, then);
        effects.add(new Effect.Send(id, call));
    }

    public void answer(long exchange, Response response) {
        effects.add(new Effect.Answer(exchange, response));
    }

    /** Applies a batch of commands and the timers that are due, and returns what is to be done. */
    public List<Effect> handle(List<Command> batch, Time at) {
        time = at;
        for (Command command : batch) {
            guarded(() -> apply(command));
        }
        while (!timers.isEmpty() && timers.peek().due <= time.steady()) {
            Timer timer = timers.poll();
            if (!timer.cancelled) {
                guarded(timer.task);
            }
        }
        afterBatch.forEach(this::guarded);
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }

    /** When {@link #handle} has to be called again at the latest, or {@code Long.MAX_VALUE}. */
    public long nextDue() {
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
    public void count(String what, long times) {
        counts.merge(what, times, Long::sum);
    }

    /** All counts so far, by name. */
    public Map<String, Long> counts() {
        return counts;
    }

    private void apply(Command command) {
        if (command instanceof Command.Arrived arrived) {
            router.accept(arrived.request());
        } else if (command instanceof Command.CallEnded ended) {
            Consumer<Reply> then = awaited.remove(ended.call());
            if (then != null) {
                then.accept(ended.reply());
            }
        }
    }

    // Guards the process against a defect in one command's handling: a scheduler that dies of one
    // strange message would die of it again on every node.
    private void guarded(Runnable work) {
        try {
            work.run();
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
