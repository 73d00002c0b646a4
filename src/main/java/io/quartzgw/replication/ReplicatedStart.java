package io.quartzgw.replication;

/**
 * The start of one attempt of a task.
 *
 * @param job the job's ID
 * @param index the task's index in the job
 * @param attempt the attempt number
 */
public record ReplicatedStart(String job, int index, long attempt) {

    /** Returns the name of the task. */
    public String task() {
        return job + "/" + index;
    }
}
