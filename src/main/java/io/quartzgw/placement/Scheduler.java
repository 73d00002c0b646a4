package io.quartzgw.placement;

import io.quartzgw.loop.Kernel;
import io.quartzgw.submission.JobSpec;
import io.quartzgw.submission.Priority;
import io.quartzgw.submission.Resources;
import io.quartzgw.worker.WorkerTimes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

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
    private final TaskControl starter;
    private final Objectives goals;
    private final Queue queue;
    private final BestFit bestFit;
    private final BooleanSupplier cloudExhausted;
    private final long freshMs;
    private List<Unplaced> unplaced = List.of();
    /** Whether normal work stops low work in this pass. */
    private boolean normalPreempts;

    /** When a paused job is to be tried again, as far as a timer is set for it. */
    private long retryAt = Long.MAX_VALUE;

    /**
     * @param roomIsKept whether room is kept rented whatever the demand
     * @param cloudExhausted whether the cloud gives no more machines at present
     */
    public Scheduler(
            Kernel kernel,
            Cluster cluster,
            Map<String, Team> teams,
            Objectives goals,
            boolean roomIsKept,
            WorkerTimes times,
            BooleanSupplier cloudExhausted,
            TaskControl starter) {
        this.kernel = kernel;
        this.cluster = cluster;
        this.teams = teams;
        this.cloudExhausted = cloudExhausted;
        this.starter = starter;
        this.goals = goals;
        this.queue = new Queue(cluster, teams, goals, times.reportMs());
        this.bestFit = new BestFit(kernel.random(), roomIsKept);
        this.freshMs = (long) (FRESH_REPORTS * times.reportMs());
    }

    /** What lacked room the last time. */
    public List<Unplaced> unplaced() {
        return unplaced;
    }

    /** Places all that can be placed now. */
    public void run() {
        List.copyOf(cluster.waitingJobs()).stream().filter(Job::broken).forEach(this::stopRest);
        cluster.machines().stream()
                .filter(machine -> machine.reclaimAt() != Long.MAX_VALUE)
                .toList()
                .forEach(this::leaveReclaimed);
        List<Job> order = queue.order(kernel.now());
        kernel.count("placement.passes", 1);
        kernel.count("placement.jobs", order.size());
        List<Unplaced> left = new ArrayList<>();
        if (!order.isEmpty()) {
            List<Machine> machines =
                    cluster.machines().stream().filter(this::usable).toList();
            List<Machine> roomy = roomyFor(order, machines);
            bestFit.zoneUse(zoneUse(machines));
            // As a rule no low work runs, and there is nothing to look for.
            normalPreempts = cloudExhausted.getAsBoolean()
                    && machines.stream().anyMatch(machine -> machine.holdsBelow(Priority.NORMAL));
            for (Job job : order) {
                int lacking = job.spec().gang() ? placeGang(job, roomy) : place(job, machines, roomy);
                // A job that fails everywhere must not have machines rented for it.
                if (lacking > 0 && job.errors() < RENT_ERRORS) {
                    left.add(new Unplaced(job, lacking));
                }
            }
        }
        kernel.count("placement.looks", bestFit.takeLooks());
        unplaced = left;
        scheduleRetry();
    }

    // Most machines of a busy cluster have no room for anything that waits: they are looked at once a pass,
    // not once for each job.
    private static List<Machine> roomyFor(List<Job> order, List<Machine> machines) {
        Resources least = order.get(0).spec().demand();
        for (Job job : order) {
            least = least.least(job.spec().demand());
        }
        Resources needed = least;
        return machines.stream()
                .filter(machine -> needed.fitsIn(machine.room()))
                .toList();
    }

    private static Map<String, Double> zoneUse(List<Machine> machines) {
        Map<String, Double> size = new HashMap<>();
        Map<String, Double> room = new HashMap<>();
        for (Machine machine : machines) {
            if (!machine.spot()) {
                size.merge(machine.zone(), machine.type().size().cpus(), Double::sum);
                room.merge(machine.zone(), machine.room().cpus(), Double::sum);
            }
        }
        size.replaceAll((zone, cpus) -> 1 - room.get(zone) / cpus);
        return size;
    }

    private void scheduleRetry() {
        long retry = queue.nextRetry(kernel.now());
        if (retry < retryAt || retryAt <= kernel.now()) {
            retryAt = retry;
            if (retry != Long.MAX_VALUE) {
                kernel.after(retry - kernel.now(), cluster::touch);
            }
        }
    }

    /** Whether something may be placed on a machine now. */
    public boolean usable(Machine machine) {
        return machine.status() == Machine.Status.UP
                && !machine.released()
                && machine.presence().verified()
                && !machine.presence().unreachable()
                && kernel.now() - machine.presence().lastAnswered() < freshMs
                && machine.reclaimAt() == Long.MAX_VALUE
                && machine.failedJobs() < DISTRUST_JOBS;
    }

    /** Returns how many tasks only lack room. */
    private int place(Job job, List<Machine> machines, List<Machine> roomy) {
        if (job.errors() >= RENT_ERRORS && machines.stream().allMatch(machine -> job.avoids(machine.id()))) {
            job.forgiveMachines();
        }
        Places places = new Places(job, machines, roomy);
        while (job.nextWaiting() >= 0) {
            if (!withinLimit(job)) {
                return 0;
            }
            if (!places.placeOne()) {
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
        if (!team.withinLimit(
                cluster.mayUse(team.name()).plus(job.spec().demand().times(members)))) {
            return 0;
        }
        List<Booking> placed = new ArrayList<>();
        List<Machine> candidates = new ArrayList<>(machines);
        // Members come together under one attempt.
        long attempt = cluster.nextAttempt();
        while (job.nextWaiting() >= 0) {
            Machine chosen = bestFit.choose(job, candidates, machine -> allowed(job, machine), kernel.now());
            if (chosen == null) {
                placed.forEach(cluster::release);
                return members;
            }
            placed.add(cluster.book(job, job.nextWaiting(), chosen, attempt));
        }
        placed.forEach(starter::start);
        return 0;
    }

    // What a machine that is about to be taken away can't finish begins elsewhere now: when the machine is gone, that
    // is only known once the cloud's late list lacks it.
    private void leaveReclaimed(Machine machine) {
        for (Booking booking : machine.bookingsCopy()) {
            JobSpec spec = booking.job().spec();
            if (booking.reclaimedBeforeEnd(kernel.now()) && (!spec.service() || roomElsewhere(booking.job()))) {
                starter.stop(booking, spec.saveS(), StopReason.MACHINE_RECLAIMED);
                if (spec.service()) {
                    // The next replica asks again whether there is room, once this one has taken its place.
                    return;
                }
            }
        }
    }

    private boolean roomElsewhere(Job job) {
        return cluster.machines().stream()
                .anyMatch(machine ->
                        usable(machine) && job.spec().demand().fitsIn(machine.room()) && allowed(job, machine));
    }

    private void stopRest(Job job) {
        job.bookingsCopy().stream()
                .filter(booking -> !booking.stopping())
                .forEach(booking -> starter.stop(booking, job.spec().saveS(), StopReason.GANG_BROKEN));
    }

    private boolean withinLimit(Job job) {
        Team team = teams.get(job.spec().team());
        return team != null
                && team.withinLimit(
                        cluster.mayUse(job.spec().team()).plus(job.spec().demand()));
    }

    private int lacking(Job job) {
        Team team = teams.get(job.spec().team());
        Resources use = cluster.mayUse(job.spec().team());
        return team.tasksWithinLimit(use, job.spec().demand(), job.waiting().cardinality());
    }

    private boolean allowed(Job job, Machine machine) {
        JobSpec spec = job.spec();
        return spec.allows(machine.type().name(), machine.zone(), machine.spot())
                && job.zoneAllowed(machine.zone())
                && !job.avoids(machine.id())
                && !machine.refusedJobs().contains(job.id());
    }

    // Work above normal does so at once. Normal work stops low work only where no machine can be rented for it: else
    // what the low work has done would be lost for a wait that a boot ends.
    private boolean preempts(Job job) {
        Priority priority = job.spec().priority();
        return priority.above(Priority.NORMAL) || priority == Priority.NORMAL && normalPreempts;
    }

    /** Where the tasks of one job may go in this pass. They are alike: what one can't have, none can. */
    private final class Places {
        private final Job job;
        private final List<Machine> machines;
        private final List<Machine> withImage = new ArrayList<>();
        /** Without the image, but it comes in time. */
        private final List<Machine> quick = new ArrayList<>();

        private final List<Machine> without = new ArrayList<>();
        private Preemption stopsWithImage;
        private Preemption stops;

        Places(Job job, List<Machine> machines, List<Machine> roomy) {
            this.job = job;
            this.machines = machines;
            for (Machine machine : roomy) {
                if (job.spec().demand().fitsIn(machine.room()) && allowed(job, machine)) {
                    listFor(machine).add(machine);
                }
            }
        }

        private List<Machine> listFor(Machine machine) {
            double fetchS = machine.fetchS(job.spec().image(), job.spec().imageGb(), kernel.now());
            return fetchS == 0 ? withImage : goals.startsInTime(job, fetchS) ? quick : without;
        }

        private boolean holdsImage(Machine machine) {
            return machine.hasImage(job.spec().image());
        }

        boolean placeOne() {
            if (take(withImage) || take(quick)) {
                return true;
            }
            if (preempts(job)) {
                if (stopsWithImage == null) {
                    stopsWithImage = new Preemption(
                            job, machines, machine -> holdsImage(machine) && allowed(job, machine), kernel.now());
                }
                if (preempt(stopsWithImage)) {
                    return true;
                }
            }
            if (take(without)) {
                return true;
            }
            if (preempts(job)) {
                if (stops == null) {
                    stops = new Preemption(job, machines, machine -> allowed(job, machine), kernel.now());
                }
                return preempt(stops);
            }
            return false;
        }

        private boolean take(List<Machine> candidates) {
            Machine chosen = bestFit.choose(job, candidates, machine -> allowed(job, machine), kernel.now());
            if (chosen != null) {
                book(job, chosen);
            }
            return chosen != null;
        }

        private boolean preempt(Preemption preemption) {
            Preemption.Plan plan = preemption.next();
            if (plan == null) {
                return false;
            }
            // Orders are executed in order: the stops make the room that the start needs.
            plan.victims().forEach(victim -> starter.stop(victim, 0, StopReason.PREEMPTED));
            book(job, plan.machine());
            preemption.again(plan.machine());
            return true;
        }
    }

    private void book(Job job, Machine machine) {
        starter.start(cluster.book(job, job.nextWaiting(), machine, cluster.nextAttempt()));
    }
}
