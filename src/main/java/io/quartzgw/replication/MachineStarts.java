package io.quartzgw.replication;

import io.quartzgw.model.Attempt;
import java.util.Set;

/**
 * All starts that direct calls may carry to one machine.
 *
 * @param machine the machine's ID
 * @param starts the starts; empty if there are none any more
 */
public record MachineStarts(String machine, Set<Attempt> starts) {}
