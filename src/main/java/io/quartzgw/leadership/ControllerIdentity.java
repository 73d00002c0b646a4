package io.quartzgw.leadership;

/**
 * Identifies one process of a controller.
 *
 * @param member the name of the controller in the cluster
 * @param process the number of the process; a restarted controller has another one
 */
public record ControllerIdentity(String member, long process) {}
