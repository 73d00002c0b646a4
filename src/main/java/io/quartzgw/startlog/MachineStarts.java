package io.quartzgw.startlog;

import io.quartzgw.model.Attempt;
import java.util.Set;

/**
 * The outstanding starts that previous leaders sent to one machine in direct calls.
 *
 * @param machine the machine's ID
 * @param starts the attempts that these starts begin
 */
public record MachineStarts(String machine, Set<Attempt> starts) {}
