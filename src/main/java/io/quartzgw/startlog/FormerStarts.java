package io.quartzgw.startlog;

import java.util.List;

/**
 * What the log tells a new leader of the starts of former leaders.
 *
 * @param machines the machines that starts may be on their way to
 * @param unreadablePages how many pages can't be read: each may name any start to any machine
 */
public record FormerStarts(List<MachineStarts> machines, int unreadablePages) {

    /** Returns how many starts the readable pages name. */
    public int count() {
        return machines.stream().mapToInt(machine -> machine.starts().size()).sum();
    }
}
