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

/** A rented machine as the leader sees it. */
public final class Machine {

    /** The lifecycle of a machine. */
    public enum Status {
        /** Rented; its agent has not sent a heartbeat yet. */
        BOOTING,
        /** Its agent sends heartbeats. */
        UP,
        /** No task is allocated to it any more; it will be deleted. */
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
    private final MachineExclusions exclusions = new MachineExclusions();
    private final MachineFencing fencing = new MachineFencing();

    /**
     * @param rentedAt when the machine was rented, in milliseconds of the steady clock
     * @param now the current time of the same clock
     */
    public Machine(String id, MachineType type, String zone, boolean spot, long rentedAt, long now) {
        this.id = id;
        this.type = type;
        this.freeCapacity = type.size();
        this.images = new ImageCache(type.cacheGb());
        this.zone = zone;
        this.spot = spot;
        this.rentedAt = rentedAt;
        this.liveness = new AgentLiveness(now);
        this.emptySince = now;
    }

    /** The cloud's id of the machine. */
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

    /** Excludes it from new allocations, so that it can be deleted. */
    public void drain() {
        status = Status.DRAINING;
    }

    /** Drains it and begins to fence it: it is deleted at the deadline, or as soon as nothing runs there any more. */
    public void fence(long deadline) {
        drain();
        fencing.begin(deadline);
    }

    /** The attempts that may still be started on it though they have ended, and whether it is deleted for them. */
    public MachineFencing fencing() {
        return fencing;
    }

    /** What it is passed over for. */
    public MachineExclusions exclusions() {
        return exclusions;
    }

    /** Whether it runs, may run, or has just been given a task that is not lost with its agent. */
    public boolean isInUse() {
        return isUnverified() || allocations.values().stream().anyMatch(allocation -> !allocation.isLost());
    }

    /** Whether it may run tasks of former leaders that no current heartbeat has shown. */
    public boolean isUnverified() {
        return hasRunTasks && !liveness.verified() && !reservationExpired;
    }

    /** Whether it is being fenced and can be deleted now. */
    public boolean isFencingDue(long now) {
        return fencing.isBegun() && (now >= fencing.deadline() || !isInUse());
    }

    /** Whether its record says that tasks may have been started on it. */
    public boolean hasRunTasks() {
        return hasRunTasks;
    }

    /** Records that tasks may have been started on it. */
    public void markHasRunTasks() {
        hasRunTasks = true;
    }

    /** The heartbeats of its agent. */
    public AgentLiveness liveness() {
        return liveness;
    }

    /** Records that a current heartbeat has shown which tasks it runs. */
    public void markUp() {
        reservationExpired = false;
        if (status == Status.BOOTING) {
            status = Status.UP;
        }
    }

    /**
     * Whether it was silent for its whole reservation: its tasks have ended with their leases, and none is allocated to
     * it until a current heartbeat arrives.
     */
    public boolean reservationExpired() {
        return reservationExpired;
    }

    /** Ends the reservation of its capacity for tasks that may run on it. */
    public void expireReservation() {
        reservationExpired = true;
    }

    /** When the cloud reclaims the machine, or {@code Long.MAX_VALUE} if it has announced nothing. */
    public long reclaimAt() {
        return reclaimAt;
    }

    /** Sets when the cloud reclaims the machine. */
    public void reclaimAt(long reclaimAt) {
        this.reclaimAt = reclaimAt;
    }

    /** When it is gone, reclaimed by the cloud or deleted, or {@code Long.MAX_VALUE} if it stays. */
    public long expectedRemovalAt() {
        return Math.min(reclaimAt, fencing.deadline());
    }

    /** Since when no task is allocated to it, if none is. */
    public long emptySince() {
        return emptySince;
    }

    // ---- allocations

    /** The capacity that is not allocated. */
    public Resources freeCapacity() {
        return freeCapacity;
    }

    /**
     * Whether more is allocated than it has: a lost attempt has got its allocation back after others were placed there.
     * The agent would refuse its start until some of them have ended.
     */
    public boolean isOverbooked() {
        return !Resources.NONE.fitsIn(freeCapacity);
    }

    /** Whether no task is allocated to it. */
    public boolean empty() {
        return allocations.isEmpty();
    }

    /** The allocation of a task, or null if it is not allocated here. */
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

    /** Whether it runs a task below the priority. */
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
        // Reset when empty, so that rounding errors of decimals don't add up over a day.
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

    /** Records that an image was fetched or used here. */
    public void cacheImage(String image, double gb) {
        images.put(image, gb);
    }

    /**
     * The estimated time until a task has its image here: none if it is cached, the remaining time if it is being
     * fetched already, and longer the more images are fetched at the same time.
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
