package io.quartzgw.leadership;

/**
 * Identifies one process of a controller.
 *
 * @param member the name of the controller, which stays the same after a restart
 * @param process the number of the process, which differs after a restart
 */
public record ControllerIdentity(String member, long process) {}
