package io.quartzgw.eventloop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs an event loop on one thread, in batches.
 *
 * <p>Inbound requests wait in a small buffer. When it is full, the caller rejects further requests immediately. Results
 * of outbound calls are always accepted, since the event loop limits the number of calls that it starts.
 */
public final class EventLoopThread implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoopThread.class);
    private static final long MAX_POLL_MS = 1_000;

    private final EventLoop eventLoop;
    private final Consumer<Effect> effectRunner;
    private final BlockingQueue<LoopEvent> requestBuffer;
    private final BlockingQueue<LoopEvent> events = new LinkedBlockingQueue<>();
    private final int maxBatchSize;
    private volatile boolean stopRequested;

    /**
     * @param requestCapacity the maximum number of waiting inbound requests
     * @param effectRunner executes effects; must not block
     */
    public EventLoopThread(EventLoop eventLoop, int requestCapacity, Consumer<Effect> effectRunner) {
        this.eventLoop = eventLoop;
        this.effectRunner = effectRunner;
        this.maxBatchSize = requestCapacity;
        this.requestBuffer = new ArrayBlockingQueue<>(requestCapacity);
    }

    /** Queues an inbound request. Returns false when the buffer is full. */
    public boolean offerRequest(LoopEvent.RequestReceived arrived) {
        if (!requestBuffer.offer(arrived)) {
            return false;
        }
        events.add(WAKE_UP);
        return true;
    }

    public void callEnded(LoopEvent.CallEnded ended) {
        events.add(ended);
    }

    public void stop() {
        stopRequested = true;
        events.add(WAKE_UP);
    }

    public static ClockReading currentTime() {
        return new ClockReading(System.nanoTime() / 1_000_000, System.currentTimeMillis());
    }

    @Override
    public void run() {
        List<LoopEvent> batch = new ArrayList<>(maxBatchSize);
        try {
            while (!stopRequested) {
                long waitMs = Math.min(
                        MAX_POLL_MS, eventLoop.nextTimerAt() - currentTime().steadyMs());
                LoopEvent first = waitMs > 0 ? events.poll(waitMs, TimeUnit.MILLISECONDS) : events.poll();
                if (first != null) {
                    batch.add(first);
                    events.drainTo(batch, maxBatchSize - 1);
                }
                batch.removeIf(event -> event == WAKE_UP);
                requestBuffer.drainTo(batch, maxBatchSize);
                eventLoop.processBatch(batch, currentTime()).forEach(effectRunner);
                batch.clear();
            }
        } catch (InterruptedException e) {
            LOG.info("event loop interrupted");
            Thread.currentThread().interrupt();
        }
    }

    private static final LoopEvent WAKE_UP = new LoopEvent.CallEnded(0, null);
}
