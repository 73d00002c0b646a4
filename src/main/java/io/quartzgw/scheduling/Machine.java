package io.quartzgw.scheduling;

import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader sees it. */
public final class Machine {

    /** What the machine is good for. */
    public enum Status {
        /** Rented; its worker has not reported yet. */
        BOOTING,
        /** Its worker reports. */
        UP,
        /** Nothing is placed on it any more; it will be returned. */
        DRAINING
    }

    private final String id;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final long rentedAt;
    private Endpoint address;
    private Status status = Status.BOOTING;
    private boolean hasRunTasks;
    private final AgentLiveness liveness;
    private boolean removeAllocation;
    private long reclaimAt = Long.MAX_VALUE;
    private long emptySince;
    private final Map<String, Allocation> allocations = new HashMap<>();
    private final int[] tasksPerPriority = new int[Priority.values().length];
    private Resources allocated = Resources.NONE;
    private Resources freeCapacity;
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);
    private final Set<String> failedJobs = new HashSet<>();
    private Set<String> refusedJobs = Set.of();

    /**
     * @param rentedAt when the machine was rented, in milliseconds of the steady clock
     * @param now the current time of the same clock
     */
    public Machine(String id, MachineType type, String zone, boolean spot, long rentedAt, long now) {
        this.id = id;
        this.type = type;
        this.freeCapacity = type.size();
        this.zone = zone;
        this.spot = spot;
        this.rentedAt = rentedAt;
        this.liveness = new AgentLiveness(now);
        this.emptySince = now;
    }

    public String id() {
        return id;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public long rentedAt() {
        return rentedAt;
    }

    public Endpoint address() {
        return address;
    }

    public void address(Endpoint reported) {
        this.address = reported;
    }

    // ---- state

    public Status status() {
        return status;
    }

    public void drain() {
        status = Status.DRAINING;
    }

    /** Whether its record says that tasks may have been started on it. */
    public boolean hasRunTasks() {
        return hasRunTasks;
    }

    public void markHasRunTasks() {
        hasRunTasks = true;
    }

    /** What was heard from its worker. */
    public AgentLiveness liveness() {
        return liveness;
    }

    /** A current report has told what is on it. */
    public void markUp() {
        removeAllocation = false;
        if (status == Status.BOOTING) {
            status = Status.UP;
        }
    }

    /** Whether it was silent for its whole hold: what was on it has ended, and nothing is placed there. */
    public boolean removeAllocation() {
        return removeAllocation;
    }

    public void expireReservation() {
        removeAllocation = true;
    }

    public long reclaimAt() {
        return reclaimAt;
    }

    public void reclaimAt(long moment) {
        reclaimAt = moment;
    }

    public long emptySince() {
        return emptySince;
    }

    // ---- room

    public Resources freeCapacity() {
        return freeCapacity;
    }

    public boolean empty() {
        return allocations.isEmpty();
    }

    public Allocation allocation(String task) {
        return allocations.get(task);
    }

    public Collection<Allocation> allocations() {
        return allocations.values();
    }

    public List<Allocation> allocationsSnapshot() {
        return new ArrayList<>(allocations.values());
    }

    /** Whether it has a task of less priority. */
    boolean runsBelow(Priority priority) {
        for (int lower = priority.ordinal() + 1; lower < tasksPerPriority.length; lower++) {
            if (tasksPerPriority[lower] > 0) {
                return true;
            }
        }
        return false;
    }

    void addAllocation(Allocation booking) {
        allocations.put(booking.task(), booking);
        tasksPerPriority[booking.job().spec().priority().ordinal()]++;
        allocated = allocated.plus(booking.demand());
        freeCapacity = type.size().minus(allocated);
    }

    void removeAllocation(Allocation booking, long now) {
        allocations.remove(booking.task());
        tasksPerPriority[booking.job().spec().priority().ordinal()]--;
        // Summed anew when empty, so that rounding errors of decimals don't add up over a day.
        allocated = allocations.isEmpty() ? Resources.NONE : allocated.minus(booking.demand());
        freeCapacity = type.size().minus(allocated);
        if (allocations.isEmpty()) {
            emptySince = now;
        }
    }

    // ---- images

    public boolean hasImage(String image) {
        return images.containsKey(image);
    }

    /** Notes that an image was fetched or used; the least recently used ones leave the cache. */
    public void cacheImage(String image, double gb) {
        images.put(image, gb);
        double held = images.values().stream().mapToDouble(Double::doubleValue).sum();
        var oldest = images.entrySet().iterator();
        while (held > type.cacheGb() && oldest.hasNext()) {
            Map.Entry<String, Double> entry = oldest.next();
            if (!entry.getKey().equals(image)) {
                held -= entry.getValue();
                oldest.remove();
            }
        }
    }

    /**
     * How long a task would wait for its image here: not at all where it is held, less where it is being fetched
     * already, and the longer the more others are fetched at the same time.
     */
    public double fetchS(String image, double gb, long now) {
        if (hasImage(image)) {
            return 0;
        }
        double alone = type.fetchGbPerS() > 0 ? gb / type.fetchGbPerS() : 0;
        int others = 0;
        for (Allocation booking : allocations.values()) {
            String fetched = booking.job().spec().image();
            if (booking.phase() == Allocation.Phase.ASSIGNED || booking.phase() == Allocation.Phase.FETCHING) {
                if (fetched.equals(image)) {
                    return Math.max(0, alone - (now - booking.allocatedAt()) / 1000.0);
                }
                others += hasImage(fetched) ? 0 : 1;
            }
        }
        return alone * (1 + others);
    }

    // ---- trust

    /** Jobs of which the worker would refuse a task at present, since it still knows a former attempt of it. */
    public Set<String> refusedJobs() {
        return refusedJobs;
    }

    /** Says which jobs the worker would refuse. */
    public void refuseJobs(Set<String> jobs) {
        refusedJobs = jobs;
    }

    public void jobFailed(String job) {
        failedJobs.add(job);
    }

    public void jobSucceeded() {
        failedJobs.clear();
    }

    public int failedJobs() {
        return failedJobs.size();
    }
}
