package io.quartzgw.model;

/**
 * Identifies one execution of a task. The members of a gang share an attempt number, so the task is part of the
 * identity.
 *
 * @param job the job's ID
 * @param index the task's index in the job
 * @param number the attempt number
 */
public record Attempt(String job, int index, long number) {

    /** Returns the name of the task. */
    public String task() {
        return job + "/" + index;
    }
}
