package io.quartzgw.scheduling;

/** The number of a job's tasks that were not allocated only because free capacity was lacking. */
public record UnplacedTasks(Job job, int count) {}
