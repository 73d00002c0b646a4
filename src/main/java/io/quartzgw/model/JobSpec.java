package io.quartzgw.model;

import java.util.Set;

/**
 * The specification of a job, as its owner submitted it.
 *
 * @param jobClass the class of jobs whose service-level objectives apply
 * @param tasks the number of tasks, all with the same specification
 * @param demand the resources that each task needs
 * @param image the name of the image that tasks run from
 * @param imageGb size of the image
 * @param machineTypes allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param singleZone whether all tasks must be in one zone
 * @param spread whether at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether spot machines are allowed
 * @param estimateS the owner's estimate of a task's runtime; 0 for services
 * @param checkpointIntervalS the interval at which a task saves a checkpoint; 0 for never
 * @param checkpointGraceS how long a task may take to save a checkpoint when it is stopped
 * @param deadlineS seconds from submission within which the job should complete; null for no deadline
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        JobShape shape,
        Priority priority,
        int tasks,
        Resources demand,
        String image,
        double imageGb,
        Set<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spread,
        boolean spotAllowed,
        double estimateS,
        double checkpointIntervalS,
        double checkpointGraceS,
        Double deadlineS) {

    /** Whether the tasks are replicas of a service. */
    public boolean service() {
        return shape == JobShape.SERVICE;
    }

    /** Whether the tasks are members of a gang. */
    public boolean gang() {
        return shape == JobShape.GANG;
    }

    /** The minimum resources that the job needs at the same time. An array can run its tasks one after the other. */
    public Resources minimumDemand() {
        return shape == JobShape.ARRAY ? demand : demand.times(tasks);
    }

    /** The largest number of tasks that may be in one zone. */
    public int tasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /**
     * Whether a machine of this type and zone, spot or on-demand, may run a task of the job, regardless of its other
     * tasks.
     */
    public boolean allows(String machineType, String inZone, boolean onSpot) {
        return (machineTypes == null || machineTypes.contains(machineType))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !onSpot);
    }
}
