package io.quartzgw.simulation;

import io.quartzgw.eventloop.ClockReading;
import java.util.PriorityQueue;

/**
 * The simulated clock and the events scheduled on it. Events run in the order of their times; events with the same time
 * run in the order in which they were scheduled.
 */
final class EventQueue {
    private static final long WALL_CLOCK_START_MS = 1_800_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** The simulated time, in milliseconds since the simulation began. */
    long now() {
        return now;
    }

    /** The simulated time as input of the controllers' event loops. */
    ClockReading clockReading() {
        return new ClockReading(now, WALL_CLOCK_START_MS + now);
    }

    /** Schedules an action at the given time, or at the present time if that is later. */
    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), ++sequence, action));
    }

    /** Schedules an action after a delay. */
    void scheduleAfter(long delayMs, Runnable action) {
        schedule(now + delayMs, action);
    }

    /** Schedules an action periodically, first after one period. */
    void scheduleEvery(long periodMs, Runnable action) {
        scheduleAfter(periodMs, () -> {
            action.run();
            scheduleEvery(periodMs, action);
        });
    }

    /** Runs all events up to the given time, and sets the clock to it. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
        now = end;
    }
}
