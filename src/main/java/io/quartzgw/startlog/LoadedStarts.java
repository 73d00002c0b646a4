package io.quartzgw.startlog;

import java.util.List;

/**
 * The outstanding starts of previous leaders, as a new leader reads them from the log.
 *
 * @param machines the machines that have outstanding starts
 * @param unreadablePages the number of pages that can't be decoded; each may contain any start for any machine
 */
public record LoadedStarts(List<MachineStarts> machines, int unreadablePages) {

    /** Returns the number of starts in the readable pages. */
    public int count() {
        return machines.stream().mapToInt(machine -> machine.starts().size()).sum();
    }
}
