package io.quartzgw.simulation;

import io.quartzgw.model.JobShape;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;

/** Builder of job specs for tests, with defaults for the values that a test does not depend on. */
public final class JobSpecBuilder {
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

    private JobSpecBuilder(String id) {
        this.id = id;
    }

    /** An array job of one small task, of class {@code w} and team {@code free}, for any machine but spot machines. */
    public static JobSpecBuilder named(String id) {
        return new JobSpecBuilder(id);
    }

    public JobSpecBuilder team(String name) {
        this.team = name;
        return this;
    }

    public JobSpecBuilder shape(JobShape value) {
        this.shape = value;
        return this;
    }

    public JobSpecBuilder priority(Priority value) {
        this.priority = value;
        return this;
    }

    public JobSpecBuilder tasks(int count) {
        this.tasks = count;
        return this;
    }

    /** Sets the resources that each task needs. */
    public JobSpecBuilder demand(double cpus, double gpus, double memoryGb) {
        this.demand = new Resources(cpus, gpus, memoryGb);
        return this;
    }

    public JobSpecBuilder image(String name) {
        this.image = name;
        return this;
    }

    public JobSpecBuilder oneZone(boolean on) {
        this.oneZone = on;
        return this;
    }

    public JobSpecBuilder spread(boolean on) {
        this.spread = on;
        return this;
    }

    public JobSpecBuilder spot(boolean on) {
        this.spot = on;
        return this;
    }

    public JobSpecBuilder deadlineS(double seconds) {
        this.deadlineS = seconds;
        return this;
    }

    /** Builds the spec. */
    public JobSpec build() {
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
