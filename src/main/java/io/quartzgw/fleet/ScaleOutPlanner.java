package io.quartzgw.fleet;

import io.quartzgw.model.MachineType;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.UnplacedTasks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Plans scale-out: the cheapest offers for tasks that do not fit on machines that are booting or requested. */
final class ScaleOutPlanner {
    private static final double EPSILON = 1e-6;

    private final MachineTypes types;
    private Map<String, Integer> machinesByZone = Map.of();
    private long machinesExamined;

    ScaleOutPlanner(MachineTypes types) {
        this.types = types;
    }

    /** A bin for packing: a machine that is booting, requested or planned, with its free capacity. */
    private static final class Bin {
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private Resources freeCapacity;

        Bin(MachineType type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.freeCapacity = type.size();
        }
    }

    /**
     * Plans which machines to request, the most urgent first.
     *
     * @param unplaced tasks that lack free capacity
     * @param booting machines that are booting
     * @param requested the offers of rental requests without a definite result, one for each machine
     * @param available whether an offer may be requested
     * @param reserveCpus the minimum number of CPUs to rent, regardless of demand
     * @param machinesPerZone the number of machines per zone, to balance the zones: jobs that have to spread need
     *     capacity in every zone
     */
    Map<MachineOffer, Integer> plan(
            List<UnplacedTasks> unplaced,
            List<Machine> booting,
            List<MachineOffer> requested,
            Predicate<MachineOffer> available,
            double reserveCpus,
            Map<String, Integer> machinesPerZone) {
        machinesByZone = new HashMap<>(machinesPerZone);
        List<Bin> bins = new ArrayList<>();
        booting.forEach(machine -> bins.add(new Bin(machine.type(), machine.zone(), machine.spot())));
        requested.forEach(offer -> bins.add(new Bin(offer.type(), offer.zone(), offer.spot())));
        Map<MachineOffer, Integer> wanted = new LinkedHashMap<>();
        double missingCpus = reserveCpus;
        for (UnplacedTasks tasks : unplaced) {
            missingCpus -= assignToBins(tasks, bins, wanted, available);
        }
        while (missingCpus > 0) {
            MachineOffer cheapest = cheapestPerCpu(available);
            if (cheapest == null) {
                break;
            }
            wanted.merge(cheapest, 1, Integer::sum);
            missingCpus -= cheapest.type().size().cpus();
        }
        return wanted;
    }

    /** Returns the CPUs of the machines that were planned for the tasks. */
    private double assignToBins(
            UnplacedTasks tasks, List<Bin> bins, Map<MachineOffer, Integer> wanted, Predicate<MachineOffer> available) {
        Job job = tasks.job();
        double addedCpus = 0;
        Map<String, Integer> plannedPerZone = new HashMap<>();
        // All tasks of a job are alike, so a bin that can't take one task can't take a later one. Each bin is therefore
        // examined only once per job. With thousands of pending tasks, examining every bin for every task kept a leader
        // from renewing its lease.
        int next = 0;
        for (int remaining = tasks.count(); remaining > 0; remaining--) {
            while (next < bins.size() && !fits(job, bins.get(next), plannedPerZone)) {
                next++;
            }
            Bin bin = next < bins.size() ? bins.get(next) : null;
            if (bin == null) {
                MachineOffer offer = cheapestPerTask(job, remaining, plannedPerZone, available);
                if (offer == null) {
                    return addedCpus;
                }
                wanted.merge(offer, 1, Integer::sum);
                machinesByZone.merge(offer.zone(), 1, Integer::sum);
                bin = new Bin(offer.type(), offer.zone(), offer.spot());
                addedCpus += offer.type().size().cpus();
                bins.add(bin);
            }
            bin.freeCapacity = bin.freeCapacity.minus(job.spec().demand());
            plannedPerZone.merge(bin.zone, 1, Integer::sum);
        }
        return addedCpus;
    }

    private boolean fits(Job job, Bin bin, Map<String, Integer> plannedPerZone) {
        machinesExamined++;
        return job.spec().demand().fitsIn(bin.freeCapacity)
                && job.spec().allows(bin.type.name(), bin.zone, bin.spot)
                && zoneAllowed(job, bin.zone, plannedPerZone);
    }

    /** Returns how many bins were examined since the last call. */
    long getAndResetMachinesExamined() {
        long taken = machinesExamined;
        machinesExamined = 0;
        return taken;
    }

    private static boolean zoneAllowed(Job job, String zone, Map<String, Integer> plannedPerZone) {
        if (!job.zoneAllowed(zone)) {
            return false;
        }
        if (job.spec().singleZone() && plannedPerZone.keySet().stream().anyMatch(other -> !other.equals(zone))) {
            return false;
        }
        return !job.spec().spread()
                || job.tasksInZone(zone) + plannedPerZone.getOrDefault(zone, 0)
                        < job.spec().tasksPerZone();
    }

    /** The available offer with the lowest price per task, or null. Ties go to the zone with the fewest machines. */
    private MachineOffer cheapestPerTask(
            Job job, int count, Map<String, Integer> plannedPerZone, Predicate<MachineOffer> available) {
        MachineOffer best = null;
        double bestPrice = Double.MAX_VALUE;
        int bestZoneMachines = 0;
        for (MachineOffer offer : offers()) {
            if (!job.spec().allows(offer.type().name(), offer.zone(), offer.spot())
                    || !zoneAllowed(job, offer.zone(), plannedPerZone)
                    || !available.test(offer)) {
                continue;
            }
            int tasks = Math.min(
                    count, tasksPerMachine(job.spec().demand(), offer.type().size()));
            double price = tasks == 0 ? Double.MAX_VALUE : offer.type().price(offer.spot()) / tasks;
            int zoneMachines = machinesByZone.getOrDefault(offer.zone(), 0);
            if (price < bestPrice || (best != null && price == bestPrice && zoneMachines < bestZoneMachines)) {
                best = offer;
                bestPrice = price;
                bestZoneMachines = zoneMachines;
            }
        }
        return best;
    }

    private MachineOffer cheapestPerCpu(Predicate<MachineOffer> available) {
        MachineOffer best = null;
        for (MachineOffer offer : offers()) {
            // Reserved capacity must suit every job, so spot machines are excluded.
            if (!offer.spot() && available.test(offer) && (best == null || pricePerCpu(offer) < pricePerCpu(best))) {
                best = offer;
            }
        }
        return best;
    }

    private static double pricePerCpu(MachineOffer offer) {
        return offer.type().price(offer.spot()) / offer.type().size().cpus();
    }

    /** All offers of the cloud, whether or not they have capacity at present. */
    List<MachineOffer> offers() {
        List<MachineOffer> offers = new ArrayList<>();
        for (MachineType type : types.all()) {
            for (String zone : type.zones()) {
                offers.add(new MachineOffer(type, zone, true));
                offers.add(new MachineOffer(type, zone, false));
            }
        }
        return offers;
    }

    private static int tasksPerMachine(Resources demand, Resources size) {
        double times = Double.MAX_VALUE;
        times = demand.cpus() > 0 ? Math.min(times, size.cpus() / demand.cpus()) : times;
        times = demand.gpus() > 0 ? Math.min(times, size.gpus() / demand.gpus()) : times;
        times = demand.memoryGb() > 0 ? Math.min(times, size.memoryGb() / demand.memoryGb()) : times;
        return (int) Math.floor(times + EPSILON);
    }
}
