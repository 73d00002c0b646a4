package io.quartzgw.placement;

/** Tasks of a job that only lack room. */
public record Unplaced(Job job, int count) {}
