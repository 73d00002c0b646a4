package io.quartzgw.scheduling;

/** The number of tasks of a job that could not be allocated for lack of free capacity alone. */
public record UnplacedTasks(Job job, int count) {}
