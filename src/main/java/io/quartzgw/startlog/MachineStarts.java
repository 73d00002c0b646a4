package io.quartzgw.startlog;

import io.quartzgw.model.Attempt;
import java.util.Set;

/**
 * The starts that direct calls of former leaders may still carry to one machine.
 *
 * @param machine the machine's ID
 * @param starts the starts
 */
public record MachineStarts(String machine, Set<Attempt> starts) {}
