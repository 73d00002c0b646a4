package io.quartzgw.placement;

import io.quartzgw.loop.Kernel;
import io.quartzgw.submission.JobSpec;
import io.quartzgw.submission.Priority;
import io.quartzgw.submission.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Places waiting tasks; what only lacks room is left for the fleet to rent for. */
public final class Scheduler {
    /** A machine on which so many different jobs failed in a row gets nothing more. */
    private static final int DISTRUST_JOBS = 2;
    /** A job with so many failures gets no new machine. */
    private static final int RENT_ERRORS = 3;
    private static final double FRESH_REPORTS = 2.5;

    private final Kernel kernel;
    private final Cluster cluster;
    private final Map<String, Team> teams;
    private final Starter starter;
    private final Queue queue;
    private final BestFit bestFit;
    private final long freshMs;
    private List<Unplaced> unplaced = List.of();

    public Scheduler(Kernel kernel, Cluster cluster, Map<String, Team> teams, Goals goals, long reportMs,
            Starter starter) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.teams = teams;
        this.starter = starter;
        this.queue = new Queue(cluster, teams, goals);
        this.bestFit = new BestFit(kernel.random());
        this.freshMs = (long) (FRESH_REPORTS * reportMs);
    }

    /** What lacked room the last time. */
    public List<Unplaced> unplaced() {
        return unplaced;
    }

    /** Places all that can be placed now. */
    public void run() {
        List<Machine> machines = cluster.machines().stream().filter(this::usable).toList();
        List<Unplaced> left = new ArrayList<>();
        cluster.jobs().stream().filter(Job::broken).forEach(this::stopRest);
        for (Job job : queue.order(kernel.now())) {
            int lacking = job.spec().gang() ? placeGang(job, machines) : place(job, machines);
            // A job that fails everywhere must not have machines rented for it.
            if (lacking > 0 && job.errors() < RENT_ERRORS) {
                left.add(new Unplaced(job, lacking));
            }
        }
        unplaced = left;
        long retry = queue.nextRetry(kernel.now());
        if (retry != Long.MAX_VALUE) {
            kernel.after(retry - kernel.now(), cluster::touch);
        }
    }

    private boolean usable(Machine machine) {
        return machine.status() == Machine.Status.UP && !machine.released() && !machine.unresponsive()
                && kernel.now() - machine.lastAnswered() < freshMs
                && machine.reclaimAt() == Long.MAX_VALUE
                && machine.failedJobs() < DISTRUST_JOBS;
    }

    /** Returns how many tasks only lack room. */
    private int place(Job job, List<Machine> machines) {
        if (job.errors() >= RENT_ERRORS && machines.stream().allMatch(machine -> job.avoids(machine.id()))) {
            job.forgiveMachines();
        }
        while (job.nextWaiting() >= 0) {
            if (!withinLimit(job)) {
                return 0;
            }
            if (!placeOne(job, machines)) {
                return lacking(job);
            }
        }
        return 0;
    }

    // Whole or not at all: members that wait for others would only hold room.
    private int placeGang(Job job, List<Machine> machines) {
        if (job.mayRun() > 0) {
            return 0;
        }
        int members = job.waiting().cardinality();
        Team team = teams.get(job.spec().team());
        if (!team.withinLimit(cluster.teamUse(team.name()).plus(job.spec().demand().times(members)))) {
            return 0;
        }
        List<Booking> placed = new ArrayList<>();
        // Members come together under one attempt.
        long attempt = cluster.nextAttempt();
        while (job.nextWaiting() >= 0) {
            Machine chosen = bestFit.choose(job, machines, machine -> allowed(job, machine));
            if (chosen == null) {
                placed.forEach(cluster::release);
                return members;
            }
            placed.add(cluster.book(job, job.nextWaiting(), chosen, attempt));
        }
        placed.forEach(starter::start);
        return 0;
    }

    private void stopRest(Job job) {
        job.bookingsCopy().stream().filter(booking -> !booking.stopping())
                .forEach(booking -> starter.stop(booking, job.spec().saveS()));
    }

    private boolean withinLimit(Job job) {
        Team team = teams.get(job.spec().team());
        return team != null && team.withinLimit(cluster.teamUse(job.spec().team()).plus(job.spec().demand()));
    }

    private int lacking(Job job) {
        Team team = teams.get(job.spec().team());
        Resources use = cluster.teamUse(job.spec().team());
        int count = 0;
        int waiting = job.waiting().cardinality();
        while (count < waiting && team.withinLimit(use = use.plus(job.spec().demand()))) {
            count++;
        }
        return count;
    }

    private boolean allowed(Job job, Machine machine) {
        JobSpec spec = job.spec();
        return spec.allows(machine.type().name(), machine.zone(), machine.spot())
                && job.zoneAllowed(machine.zone()) && !job.avoids(machine.id());
    }

    private boolean placeOne(Job job, List<Machine> machines) {
        Machine chosen = bestFit.choose(job, machines, machine ->
                allowed(job, machine) && machine.hasImage(job.spec().image()));
        if (chosen == null && preempts(job) && preempt(job, machines, true)) {
            return true;
        }
        if (chosen == null) {
            chosen = bestFit.choose(job, machines, machine -> allowed(job, machine));
        }
        if (chosen != null) {
            book(job, chosen);
            return true;
        }
        return preempts(job) && preempt(job, machines, false);
    }

    // Only work that is above normal: batch work must not push out batch work.
    private static boolean preempts(Job job) {
        return job.spec().priority().above(Priority.NORMAL);
    }

    private boolean preempt(Job job, List<Machine> machines, boolean withImage) {
        Preemption.Plan plan = Preemption.cheapest(job, machines, machine -> allowed(job, machine)
                && (!withImage || machine.hasImage(job.spec().image())), kernel.now());
        if (plan == null) {
            return false;
        }
        // Orders are executed in order: the stops make the room that the start needs.
        plan.victims().forEach(victim -> starter.stop(victim, 0));
        book(job, plan.machine());
        return true;
    }

    private void book(Job job, Machine machine) {
        starter.start(cluster.book(job, job.nextWaiting(), machine, cluster.nextAttempt()));
    }
}
