package io.quartzgw.simulation;

import io.quartzgw.model.JobShape;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;

/** Descriptions of jobs for tests, which name only what matters to them. */
public final class JobSpecs {
    private static final double IMAGE_GB = 1;
    private static final double ESTIMATE_S = 10;

    private final String id;
    private String team = "free";
    private JobShape shape = JobShape.ARRAY;
    private Priority priority = Priority.NORMAL;
    private int tasks = 1;
    private Resources demand = new Resources(1, 0, 1);
    private String image = "img";
    private boolean oneZone;
    private boolean spread;
    private boolean spot;
    private Double deadlineS;

    private JobSpecs(String id) {
        this.id = id;
    }

    /** An array of one small task, of class {@code w} and team {@code free}, that may run on any ordinary machine. */
    public static JobSpecs named(String id) {
        return new JobSpecs(id);
    }

    public JobSpecs team(String name) {
        this.team = name;
        return this;
    }

    public JobSpecs shape(JobShape of) {
        this.shape = of;
        return this;
    }

    public JobSpecs priority(Priority of) {
        this.priority = of;
        return this;
    }

    public JobSpecs tasks(int count) {
        this.tasks = count;
        return this;
    }

    /** What each task takes. */
    public JobSpecs demand(double cpus, double gpus, double memoryGb) {
        this.demand = new Resources(cpus, gpus, memoryGb);
        return this;
    }

    public JobSpecs image(String name) {
        this.image = name;
        return this;
    }

    public JobSpecs oneZone(boolean so) {
        this.oneZone = so;
        return this;
    }

    public JobSpecs spread(boolean so) {
        this.spread = so;
        return this;
    }

    public JobSpecs spot(boolean so) {
        this.spot = so;
        return this;
    }

    public JobSpecs deadlineS(double seconds) {
        this.deadlineS = seconds;
        return this;
    }

    /** The description. */
    public JobSpec spec() {
        return new JobSpec(
                id,
                "w",
                team,
                shape,
                priority,
                tasks,
                demand,
                image,
                IMAGE_GB,
                null,
                null,
                oneZone,
                spread,
                spot,
                shape == JobShape.SERVICE ? 0 : ESTIMATE_S,
                0,
                0,
                deadlineS);
    }
}
