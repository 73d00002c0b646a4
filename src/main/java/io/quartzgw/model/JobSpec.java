package io.quartzgw.model;

import java.util.Set;

/**
 * A job as its owner described it.
 *
 * @param machineTypes allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param singleZone all tasks have to be in one zone
 * @param spread at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether spot machines are allowed
 * @param estimateS the owner's guess of a task's run time; 0 for services
 * @param checkpointIntervalS progress after which a task saves by itself; 0: never saves
 * @param deadlineS when the job should be done, from its submission; null: no deadline
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

    public boolean service() {
        return shape == JobShape.SERVICE;
    }

    public boolean gang() {
        return shape == JobShape.GANG;
    }

    /** What the job has to hold at once to get anywhere: an array can run one task after the other. */
    public Resources neededAtOnce() {
        return shape == JobShape.ARRAY ? demand : demand.times(tasks);
    }

    /** How many of the tasks may be in one zone. */
    public int tasksPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** Whether a machine of this kind may run a task of the job, its other tasks aside. */
    public boolean allows(String machineType, String inZone, boolean onSpot) {
        return (machineTypes == null || machineTypes.contains(machineType))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !onSpot);
    }
}
