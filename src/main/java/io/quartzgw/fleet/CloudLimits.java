package io.quartzgw.fleet;

/** What the cloud takes, from all nodes together, and how late its machine list is. */
public record CloudLimits(double requestsPerS, long listLagMs) {}
