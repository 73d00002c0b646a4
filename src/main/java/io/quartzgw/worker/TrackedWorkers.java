package io.quartzgw.worker;

import io.quartzgw.placement.Booking;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Job;
import io.quartzgw.placement.Machine;
import io.quartzgw.placement.StopReason;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the leader has under way with each worker, and which of them have something to be ordered. */
final class TrackedWorkers {
    private static final Logger LOG = LoggerFactory.getLogger(TrackedWorkers.class);

    private final Cluster cluster;
    private final Map<String, TrackedWorker> tracked = new HashMap<>();
    /** Workers with something to be ordered, in the order in which it fell due. */
    private final Set<TrackedWorker> due = new LinkedHashSet<>();

    TrackedWorkers(Cluster cluster) {
        this.cluster = cluster;
    }

    /** What is under way with a machine's worker; it begins anew when another machine has taken the name. */
    TrackedWorker of(Machine machine) {
        TrackedWorker worker = tracked.get(machine.id());
        if (worker == null || worker.machine != machine) {
            worker = new TrackedWorker(machine);
            tracked.put(machine.id(), worker);
        }
        return worker;
    }

    /** Drops what is kept of a machine that is gone, and returns it; null when there was nothing. */
    TrackedWorker remove(Machine machine) {
        TrackedWorker worker = tracked.remove(machine.id());
        due.remove(worker);
        return worker;
    }

    /** Says that a worker has to be ordered something. */
    void addDue(TrackedWorker worker) {
        due.add(worker);
    }

    /** Says that what fell due for a worker is being sent. */
    void removeDue(TrackedWorker worker) {
        due.remove(worker);
    }

    /** The workers that have to be ordered something, as of now. */
    Collection<TrackedWorker> due() {
        return List.copyOf(due);
    }

    /** Has a booking's start sent at the end of this batch. */
    void start(Booking booking) {
        startsDue(booking.machine());
    }

    /** Has the starts sent that wait on a machine. */
    void startsDue(Machine machine) {
        due.add(of(machine));
    }

    /** Has the starts sent of a job's tasks that wait for that. */
    void startsDue(Job job) {
        job.bookings().stream().filter(booking -> !booking.offered()).forEach(this::start);
    }

    /** Has a task stopped: directly at the end of this batch, and in report responses until it has ended. */
    void stop(Booking booking, double graceS, StopReason reason) {
        LOG.atDebug()
                .addKeyValue("task", booking.task())
                .addKeyValue("attempt", booking.attempt())
                .addKeyValue("machine", booking.machine().id())
                .addKeyValue("reason", reason)
                .addKeyValue("seen", booking.seen())
                .addKeyValue("offered", booking.offered())
                .log("task is stopped");
        if (!booking.offered() && !booking.seen()) {
            cluster.release(booking);
            return;
        }
        booking.stop(graceS);
        due.add(of(booking.machine()));
    }
}
