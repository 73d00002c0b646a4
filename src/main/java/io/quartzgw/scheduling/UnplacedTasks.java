package io.quartzgw.scheduling;

/** Tasks of a job that only lack room. */
public record UnplacedTasks(Job job, int count) {}
