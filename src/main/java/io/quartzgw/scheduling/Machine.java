package io.quartzgw.scheduling;

import io.quartzgw.http.Endpoint;
import io.quartzgw.liveness.AgentLiveness;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leader's state of a rented machine. */
public final class Machine {

    /** The lifecycle of a machine. */
    public enum Status {
        /** Rented, but no current heartbeat of its agent has been received yet. */
        BOOTING,
        /** A current heartbeat of its agent has been received. */
        UP,
        /** It gets no new allocations and will be deleted. */
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
    private boolean reservationExpired;
    private long reclaimAt = Long.MAX_VALUE;
    private long emptySince;
    private final Map<String, Allocation> allocations = new HashMap<>();
    private final int[] tasksPerPriority = new int[Priority.values().length];
    private Resources allocated = Resources.NONE;
    private Resources freeCapacity;
    private final ImageCache images;
    private final MachineExclusions exclusions;
    private final MachineFencing fencing = new MachineFencing();

    /**
     * @param rentedAt when the machine was rented, in milliseconds of the steady clock
     * @param now the current time of the same clock
     */
    public Machine(String id, MachineType type, String zone, boolean spot, long rentedAt, long now) {
        this.id = id;
        this.exclusions = new MachineExclusions(id);
        this.type = type;
        this.freeCapacity = type.size();
        this.images = new ImageCache(type.cacheGb());
        this.zone = zone;
        this.spot = spot;
        this.rentedAt = rentedAt;
        this.liveness = new AgentLiveness(now);
        this.emptySince = now;
    }

    /** The cloud's ID of the machine. */
    public String id() {
        return id;
    }

    /** The machine type. */
    public MachineType type() {
        return type;
    }

    /** The zone it is in. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot machine, which the cloud may reclaim. */
    public boolean spot() {
        return spot;
    }

    /** When it was rented, on the steady clock. */
    public long rentedAt() {
        return rentedAt;
    }

    /** The address of its agent, or null before it is known. */
    public Endpoint address() {
        return address;
    }

    /** Sets the address of its agent. */
    public void address(Endpoint address) {
        this.address = address;
    }

    // ---- state

    /** The state in its lifecycle. */
    public Status status() {
        return status;
    }

    /** Excludes the machine from new allocations, so that it can be deleted. */
    public void drain() {
        status = Status.DRAINING;
    }

    /** Drains the machine and begins to fence it: it is deleted at the deadline, or earlier once it is not in use. */
    public void fence(long deadline) {
        drain();
        fencing.begin(deadline);
    }

    /** The machine's unfenced attempts, which late start commands may run again, and whether it is being fenced. */
    public MachineFencing fencing() {
        return fencing;
    }

    /** Why the machine is not used for some or all jobs. */
    public MachineExclusions exclusions() {
        return exclusions;
    }

    /** Whether tasks run or may run on the machine: it is unverified, or has an allocation that is not lost. */
    public boolean isInUse() {
        return isUnverified() || allocations.values().stream().anyMatch(allocation -> !allocation.isLost());
    }

    /** Whether the machine may run tasks of previous leaders that no current heartbeat has reported. */
    public boolean isUnverified() {
        return hasRunTasks && !liveness.verified() && !reservationExpired;
    }

    /** Whether the machine is being fenced and can be deleted now. */
    public boolean isFencingDue(long now) {
        return fencing.isInProgress() && (now >= fencing.deletionDeadlineMs() || !isInUse());
    }

    /** Whether its stored record marks that tasks may have been started on it. */
    public boolean hasRunTasks() {
        return hasRunTasks;
    }

    /** Records that tasks may have been started on the machine. */
    public void markHasRunTasks() {
        hasRunTasks = true;
    }

    /** The liveness of its agent. */
    public AgentLiveness liveness() {
        return liveness;
    }

    /** Records that a current heartbeat has reported the tasks that run on the machine. */
    public void markUp() {
        reservationExpired = false;
        if (status == Status.BOOTING) {
            status = Status.UP;
        }
    }

    /**
     * Whether the machine was unresponsive for its whole reservation. Its tasks have ended with the agent's lease, and
     * no task is allocated to it until a current heartbeat arrives.
     */
    public boolean reservationExpired() {
        return reservationExpired;
    }

    /** Ends the reservation of the machine's capacity for tasks that may run on it. */
    public void expireReservation() {
        reservationExpired = true;
    }

    /** When the cloud reclaims the machine, or {@code Long.MAX_VALUE} if no reclaim was announced. */
    public long reclaimAt() {
        return reclaimAt;
    }

    /** Sets when the cloud reclaims the machine. */
    public void reclaimAt(long reclaimAt) {
        this.reclaimAt = reclaimAt;
    }

    /** When the cloud reclaims the machine or it is deleted at the latest, or {@code Long.MAX_VALUE} if neither. */
    public long expectedRemovalAt() {
        return Math.min(reclaimAt, fencing.deletionDeadlineMs());
    }

    /** Since when the machine has had no allocation; meaningful only while it has none. */
    public long emptySince() {
        return emptySince;
    }

    // ---- allocations

    /** The capacity that is not allocated; negative if the machine is overcommitted. */
    public Resources freeCapacity() {
        return freeCapacity;
    }

    /**
     * Whether the allocations exceed the machine's size. This happens when the allocation of a lost attempt is restored
     * after other tasks have been allocated. The agent would refuse to start that attempt until some of them have
     * ended.
     */
    public boolean isOvercommitted() {
        return !Resources.NONE.fitsIn(freeCapacity);
    }

    /** Whether no task is allocated to the machine. */
    public boolean hasNoAllocations() {
        return allocations.isEmpty();
    }

    /** The allocation of a task, or null if the task is not allocated to this machine. */
    public Allocation allocation(String task) {
        return allocations.get(task);
    }

    /** A live view of the allocations. */
    public Collection<Allocation> allocations() {
        return allocations.values();
    }

    /** A copy of the allocations, for callers that release some. */
    public List<Allocation> allocationsSnapshot() {
        return new ArrayList<>(allocations.values());
    }

    /** Whether a task of a lower priority than the given one is allocated to the machine. */
    boolean runsTaskBelow(Priority priority) {
        for (int lower = priority.ordinal() + 1; lower < tasksPerPriority.length; lower++) {
            if (tasksPerPriority[lower] > 0) {
                return true;
            }
        }
        return false;
    }

    void addAllocation(Allocation allocation) {
        allocations.put(allocation.task(), allocation);
        tasksPerPriority[allocation.job().spec().priority().ordinal()]++;
        allocated = allocated.plus(allocation.demand());
        freeCapacity = type.size().minus(allocated);
    }

    void removeAllocation(Allocation allocation, long now) {
        allocations.remove(allocation.task());
        tasksPerPriority[allocation.job().spec().priority().ordinal()]--;
        // Reset when empty, so that floating-point rounding errors don't accumulate over a day.
        allocated = allocations.isEmpty() ? Resources.NONE : allocated.minus(allocation.demand());
        freeCapacity = type.size().minus(allocated);
        if (allocations.isEmpty()) {
            emptySince = now;
        }
    }

    // ---- images

    /** Whether the image is in its cache. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Records that an image was fetched or used on the machine. */
    public void cacheImage(String image, double gb) {
        images.put(image, gb);
    }

    /**
     * The estimated time in seconds until the machine has an image: zero if it is cached, the remaining time if it is
     * already being fetched, and otherwise the fetch time multiplied by the number of images fetched at the same time.
     */
    public double imageFetchS(String image, double gb, long now) {
        if (hasImage(image)) {
            return 0;
        }
        double unsharedFetchS = type.fetchGbPerS() > 0 ? gb / type.fetchGbPerS() : 0;
        int otherFetches = 0;
        for (Allocation allocation : allocations.values()) {
            String allocatedImage = allocation.job().spec().image();
            if (allocation.phase() == Allocation.Phase.ASSIGNED || allocation.phase() == Allocation.Phase.FETCHING) {
                if (allocatedImage.equals(image)) {
                    return Math.max(0, unsharedFetchS - (now - allocation.allocatedAt()) / 1000.0);
                }
                otherFetches += hasImage(allocatedImage) ? 0 : 1;
            }
        }
        return unsharedFetchS * (1 + otherFetches);
    }
}
