package io.quartzgw.loop;

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
 * Runs a kernel on one thread, in batches.
 *
 * <p>Inbound requests wait in a small buffer; what does not fit is refused at once by the caller. Ends of outbound
 * calls are always taken, since the kernel bounds how many it starts.
 */
public final class OwnerThread implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(OwnerThread.class);
    private static final long IDLE_MS = 1_000;

    private final Kernel kernel;
    private final Consumer<Effect> runner;
    private final BlockingQueue<Command> requests;
    private final BlockingQueue<Command> queue = new LinkedBlockingQueue<>();
    private final int batch;
    private volatile boolean stopped;

    /**
     * @param buffer how many inbound requests may wait
     * @param runner carries out effects; must not block
     */
    public OwnerThread(Kernel kernel, int buffer, Consumer<Effect> runner) {
        this.kernel = kernel;
        this.runner = runner;
        this.batch = buffer;
        this.requests = new ArrayBlockingQueue<>(buffer);
    }

    /** Takes an inbound request, or says false when the buffer is full. */
    public boolean offer(Command.Arrived arrived) {
        if (!requests.offer(arrived)) {
            return false;
        }
        queue.add(WAKE);
        return true;
    }

    public void ended(Command.CallEnded ended) {
        queue.add(ended);
    }

    public void stop() {
        stopped = true;
        queue.add(WAKE);
    }

    public static Time timeNow() {
        return new Time(System.nanoTime() / 1_000_000, System.currentTimeMillis());
    }

    @Override
    public void run() {
        List<Command> taken = new ArrayList<>(batch);
        try {
            while (!stopped) {
                long wait = Math.min(IDLE_MS, kernel.nextDue() - timeNow().steady());
                Command first = wait > 0 ? queue.poll(wait, TimeUnit.MILLISECONDS) : queue.poll();
                if (first != null) {
                    taken.add(first);
                    queue.drainTo(taken, batch - 1);
                }
                taken.removeIf(command -> command == WAKE);
                requests.drainTo(taken, batch);
                kernel.handle(taken, timeNow()).forEach(runner);
                taken.clear();
            }
        } catch (InterruptedException e) {
            LOG.info("owner thread interrupted, ending");
            Thread.currentThread().interrupt();
        }
    }

    private static final Command WAKE = new Command.CallEnded(0, null);
}
