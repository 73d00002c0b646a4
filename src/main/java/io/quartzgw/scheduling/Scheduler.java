package io.quartzgw.scheduling;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;
import io.quartzgw.model.TeamQuota;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Places waiting tasks; what only lacks room is left for the fleet to rent for. */
public final class Scheduler {
    /** A machine on which so many different jobs failed in a row gets nothing more. */
    private static final int QUARANTINE_FAILED_JOBS = 2;
    /** A job with so many failures gets no new machine. */
    private static final int MAX_FAILURES_FOR_SCALE_OUT = 3;

    private static final double FRESH_HEARTBEATS = 2.5;

    private final EventLoop eventLoop;
    private final ClusterState cluster;
    private final Map<String, TeamQuota> teams;
    private final TaskLauncher launcher;
    private final ServiceLevelObjectives objectives;
    private final SchedulingQueue queue;
    private final BestFit bestFit;
    private final BooleanSupplier cloudExhausted;
    private final long maxSilenceMs;
    private List<UnplacedTasks> unplaced = List.of();
    /** Whether normal work stops low work in this pass. */
    private boolean normalPreempts;

    /** When a paused job is to be tried again, as far as a timer is set for it. */
    private long retryAt = Long.MAX_VALUE;

    /**
     * @param roomIsKept whether room is kept rented whatever the demand
     * @param cloudExhausted whether the cloud gives no more machines at present
     */
    public Scheduler(
            EventLoop eventLoop,
            ClusterState cluster,
            Map<String, TeamQuota> teams,
            ServiceLevelObjectives goals,
            boolean capacityReserved,
            AgentTiming times,
            BooleanSupplier cloudExhausted,
            TaskLauncher launcher) {
        this.eventLoop = eventLoop;
        this.cluster = cluster;
        this.teams = teams;
        this.cloudExhausted = cloudExhausted;
        this.launcher = launcher;
        this.objectives = goals;
        this.queue = new SchedulingQueue(cluster, teams, goals, times.heartbeatMs());
        this.bestFit = new BestFit(eventLoop.random(), capacityReserved);
        this.maxSilenceMs = (long) (FRESH_HEARTBEATS * times.heartbeatMs());
    }

    /** What lacked room the last time. */
    public List<UnplacedTasks> unplaced() {
        return unplaced;
    }

    /** Places all that can be placed now. */
    public void schedule() {
        List.copyOf(cluster.pendingJobs()).stream().filter(Job::isBrokenGang).forEach(this::stopRemainingMembers);
        cluster.machines().stream()
                .filter(machine -> machine.reclaimAt() != Long.MAX_VALUE)
                .toList()
                .forEach(this::evacuateReclaimed);
        List<Job> queued = queue.order(eventLoop.nowMs());
        eventLoop.increment("placement.passes", 1);
        eventLoop.increment("placement.jobs", queued.size());
        List<UnplacedTasks> left = new ArrayList<>();
        if (!queued.isEmpty()) {
            List<Machine> machines =
                    cluster.machines().stream().filter(this::usable).toList();
            List<Machine> withCapacity = withFreeCapacity(queued, machines);
            bestFit.zoneUtilization(zoneUtilization(machines));
            // As a rule no low work runs, and there is nothing to look for.
            normalPreempts = cloudExhausted.getAsBoolean()
                    && machines.stream().anyMatch(machine -> machine.runsBelow(Priority.NORMAL));
            for (Job job : queued) {
                int lacking = job.spec().gang() ? placeGang(job, withCapacity) : place(job, machines, withCapacity);
                // A job that fails everywhere must not have machines rented for it.
                if (lacking > 0 && job.failures() < MAX_FAILURES_FOR_SCALE_OUT) {
                    left.add(new UnplacedTasks(job, lacking));
                }
            }
        }
        eventLoop.increment("placement.looks", bestFit.takeMachinesExamined());
        unplaced = left;
        scheduleRetry();
    }

    // Most machines of a busy cluster have no room for anything that waits: they are looked at once a pass,
    // not once for each job.
    private static List<Machine> withFreeCapacity(List<Job> order, List<Machine> machines) {
        Resources least = order.get(0).spec().demand();
        for (Job job : order) {
            least = least.least(job.spec().demand());
        }
        Resources needed = least;
        return machines.stream()
                .filter(machine -> needed.fitsIn(machine.freeCapacity()))
                .toList();
    }

    private static Map<String, Double> zoneUtilization(List<Machine> machines) {
        Map<String, Double> size = new HashMap<>();
        Map<String, Double> room = new HashMap<>();
        for (Machine machine : machines) {
            if (!machine.spot()) {
                size.merge(machine.zone(), machine.type().size().cpus(), Double::sum);
                room.merge(machine.zone(), machine.freeCapacity().cpus(), Double::sum);
            }
        }
        size.replaceAll((zone, cpus) -> 1 - room.get(zone) / cpus);
        return size;
    }

    private void scheduleRetry() {
        long retry = queue.nextRetry(eventLoop.nowMs());
        if (retry < retryAt || retryAt <= eventLoop.nowMs()) {
            retryAt = retry;
            if (retry != Long.MAX_VALUE) {
                eventLoop.after(retry - eventLoop.nowMs(), cluster::markChanged);
            }
        }
    }

    /** Whether something may be placed on a machine now. */
    public boolean usable(Machine machine) {
        return machine.status() == Machine.Status.UP
                && !machine.reservationExpired()
                && machine.liveness().verified()
                && !machine.liveness().unreachable()
                && eventLoop.nowMs() - machine.liveness().lastResponseAt() < maxSilenceMs
                && machine.reclaimAt() == Long.MAX_VALUE
                && machine.failedJobs() < QUARANTINE_FAILED_JOBS;
    }

    /** Returns how many tasks only lack room. */
    private int place(Job job, List<Machine> machines, List<Machine> withCapacity) {
        if (job.failures() >= MAX_FAILURES_FOR_SCALE_OUT
                && machines.stream().allMatch(machine -> job.excludes(machine.id()))) {
            job.clearExcludedMachines();
        }
        Candidates places = new Candidates(job, machines, withCapacity);
        while (job.nextPending() >= 0) {
            if (!withinQuota(job)) {
                return 0;
            }
            if (!places.placeOne()) {
                return unplacedWithinQuota(job);
            }
        }
        return 0;
    }

    // Whole or not at all: members that wait for others would only hold room.
    private int placeGang(Job job, List<Machine> machines) {
        if (job.possiblyRunning() > 0) {
            return 0;
        }
        int members = job.pending().cardinality();
        TeamQuota team = teams.get(job.spec().team());
        if (!team.withinLimit(
                cluster.maxPossibleUsage(team.name()).plus(job.spec().demand().times(members)))) {
            return 0;
        }
        List<Allocation> placed = new ArrayList<>();
        List<Machine> candidates = new ArrayList<>(machines);
        // Members come together under one attempt.
        long attempt = cluster.nextAttempt();
        while (job.nextPending() >= 0) {
            Machine chosen = bestFit.choose(job, candidates, machine -> isAllowed(job, machine), eventLoop.nowMs());
            if (chosen == null) {
                placed.forEach(cluster::release);
                return members;
            }
            placed.add(cluster.allocate(job, job.nextPending(), chosen, attempt));
        }
        placed.forEach(launcher::start);
        return 0;
    }

    // What a machine that is about to be taken away can't finish begins elsewhere now: when the machine is gone, that
    // is only known once the cloud's late list lacks it.
    private void evacuateReclaimed(Machine machine) {
        for (Allocation allocation : machine.allocationsSnapshot()) {
            JobSpec spec = allocation.job().spec();
            if (allocation.reclaimedBeforeEnd(eventLoop.nowMs())
                    && (!spec.service() || fitsElsewhere(allocation.job()))) {
                launcher.stop(allocation, spec.checkpointGraceS(), StopReason.MACHINE_RECLAIMED);
                if (spec.service()) {
                    // The next replica asks again whether there is room, once this one has taken its place.
                    return;
                }
            }
        }
    }

    private boolean fitsElsewhere(Job job) {
        return cluster.machines().stream()
                .anyMatch(machine -> usable(machine)
                        && job.spec().demand().fitsIn(machine.freeCapacity())
                        && isAllowed(job, machine));
    }

    private void stopRemainingMembers(Job job) {
        job.allocationsSnapshot().stream()
                .filter(allocation -> !allocation.stopping())
                .forEach(
                        allocation -> launcher.stop(allocation, job.spec().checkpointGraceS(), StopReason.GANG_BROKEN));
    }

    private boolean withinQuota(Job job) {
        TeamQuota team = teams.get(job.spec().team());
        return team != null
                && team.withinLimit(cluster.maxPossibleUsage(job.spec().team())
                        .plus(job.spec().demand()));
    }

    private int unplacedWithinQuota(Job job) {
        TeamQuota team = teams.get(job.spec().team());
        Resources use = cluster.maxPossibleUsage(job.spec().team());
        return team.tasksWithinLimit(use, job.spec().demand(), job.pending().cardinality());
    }

    private boolean isAllowed(Job job, Machine machine) {
        JobSpec spec = job.spec();
        return spec.allows(machine.type().name(), machine.zone(), machine.spot())
                && job.zoneAllowed(machine.zone())
                && !job.excludes(machine.id())
                && !machine.refusedJobs().contains(job.id());
    }

    // Work above normal does so at once. Normal work stops low work only where no machine can be rented for it: else
    // what the low work has done would be lost for a wait that a boot ends.
    private boolean preempts(Job job) {
        Priority priority = job.spec().priority();
        return priority.above(Priority.NORMAL) || priority == Priority.NORMAL && normalPreempts;
    }

    /** Where the tasks of one job may go in this pass. They are alike: what one can't have, none can. */
    private final class Candidates {
        private final Job job;
        private final List<Machine> machines;
        private final List<Machine> withImage = new ArrayList<>();
        /** Without the image, but it comes in time. */
        private final List<Machine> withFastFetch = new ArrayList<>();

        private final List<Machine> withoutImage = new ArrayList<>();
        private Preemption preemptionWithImage;
        private Preemption preemption;

        Candidates(Job job, List<Machine> machines, List<Machine> withCapacity) {
            this.job = job;
            this.machines = machines;
            for (Machine machine : withCapacity) {
                if (job.spec().demand().fitsIn(machine.freeCapacity()) && isAllowed(job, machine)) {
                    listFor(machine).add(machine);
                }
            }
        }

        private List<Machine> listFor(Machine machine) {
            double fetchS = machine.fetchS(job.spec().image(), job.spec().imageGb(), eventLoop.nowMs());
            return fetchS == 0 ? withImage : objectives.startsInTime(job, fetchS) ? withFastFetch : withoutImage;
        }

        private boolean holdsImage(Machine machine) {
            return machine.hasImage(job.spec().image());
        }

        boolean placeOne() {
            if (allocateFrom(withImage) || allocateFrom(withFastFetch)) {
                return true;
            }
            if (preempts(job)) {
                if (preemptionWithImage == null) {
                    preemptionWithImage = new Preemption(
                            job,
                            machines,
                            machine -> holdsImage(machine) && isAllowed(job, machine),
                            eventLoop.nowMs());
                }
                if (preempt(preemptionWithImage)) {
                    return true;
                }
            }
            if (allocateFrom(withoutImage)) {
                return true;
            }
            if (preempts(job)) {
                if (preemption == null) {
                    preemption = new Preemption(job, machines, machine -> isAllowed(job, machine), eventLoop.nowMs());
                }
                return preempt(preemption);
            }
            return false;
        }

        private boolean allocateFrom(List<Machine> candidates) {
            Machine chosen = bestFit.choose(job, candidates, machine -> isAllowed(job, machine), eventLoop.nowMs());
            if (chosen != null) {
                allocate(job, chosen);
            }
            return chosen != null;
        }

        private boolean preempt(Preemption preemption) {
            Preemption.Plan plan = preemption.next();
            if (plan == null) {
                return false;
            }
            // Orders are executed in order: the stops make the room that the start needs.
            plan.victims().forEach(victim -> launcher.stop(victim, 0, StopReason.PREEMPTED));
            allocate(job, plan.machine());
            preemption.reconsider(plan.machine());
            return true;
        }
    }

    private void allocate(Job job, Machine machine) {
        launcher.start(cluster.allocate(job, job.nextPending(), machine, cluster.nextAttempt()));
    }
}
