package io.quartzgw.fleet;

/**
 * The limits of the cloud's API.
 *
 * @param requestsPerS request rate that the cloud accepts from all controllers together
 * @param listLagMs how outdated its machine list may be, in milliseconds
 */
public record CloudLimits(double requestsPerS, long listLagMs) {}
