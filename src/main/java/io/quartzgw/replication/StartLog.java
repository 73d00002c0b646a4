package io.quartzgw.replication;

import io.quartzgw.model.Attempt;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The starts that a leader's direct calls may carry, by machine. Each change of a machine's starts has a version, so
 * that a follower which has one version needs only the machines that have changed since.
 */
final class StartLog {
    /** The version of the empty log: a follower with version 0 has not been sent even that. */
    private static final long FIRST_VERSION = 1;

    private final Map<String, Entry> entries = new HashMap<>();
    private final NavigableMap<Long, String> machinesByVersion = new TreeMap<>();
    /** The versions of {@link #machinesByVersion} that left a machine without starts. */
    private final NavigableSet<Long> emptyVersions = new TreeSet<>();

    private long version = FIRST_VERSION;

    /** When a start was added. */
    record Addition(long version, long atMs) {}

    /** The starts of a machine, and the version of the last change. */
    private record Entry(long version, Map<Attempt, Addition> additions) {}

    /**
     * The changes after a version.
     *
     * @param toVersion the version that a follower has with these changes
     * @param complete whether these are all changes
     */
    record Changes(long toVersion, boolean complete, List<MachineStarts> machines) {}

    /** Returns the version of the last change. */
    long version() {
        return version;
    }

    /** Sets all starts of a machine, and returns whether that changes anything. */
    boolean put(String machine, Set<Attempt> starts, long nowMs) {
        Entry before = entries.get(machine);
        Set<Attempt> known = before == null ? Set.of() : before.additions.keySet();
        if (known.equals(starts)) {
            return false;
        }
        version++;
        Map<Attempt, Addition> additions = new LinkedHashMap<>();
        for (Attempt start : starts) {
            additions.put(start, known.contains(start) ? before.additions.get(start) : new Addition(version, nowMs));
        }
        if (before != null) {
            machinesByVersion.remove(before.version);
            emptyVersions.remove(before.version);
        }
        entries.put(machine, new Entry(version, additions));
        machinesByVersion.put(version, machine);
        if (additions.isEmpty()) {
            emptyVersions.add(version);
        }
        return true;
    }

    /** Returns whether a follower with some version has a machine's start. */
    boolean isIn(long followerVersion, String machine, Attempt start) {
        Entry entry = entries.get(machine);
        Addition addition = entry == null ? null : entry.additions.get(start);
        return addition != null && addition.version <= followerVersion;
    }

    /** Returns the first changes after a version, with so many starts or somewhat more. */
    Changes changesAfter(long followerVersion, int maxStarts) {
        List<MachineStarts> machines = new ArrayList<>();
        int starts = 0;
        for (Map.Entry<Long, String> change :
                machinesByVersion.tailMap(followerVersion, false).entrySet()) {
            if (starts >= maxStarts) {
                return new Changes(change.getKey() - 1, false, machines);
            }
            MachineStarts changed = startsOf(change.getValue());
            machines.add(changed);
            // A machine without starts takes about as much of a message as one start.
            starts += Math.max(1, changed.starts().size());
        }
        return new Changes(version, true, machines);
    }

    /** Returns the machines whose last change lies after one version and not after another. */
    List<String> machinesChangedBetween(long afterVersion, long lastVersion) {
        return afterVersion >= lastVersion
                ? List.of()
                : List.copyOf(machinesByVersion
                        .subMap(afterVersion, false, lastVersion, true)
                        .values());
    }

    /** Forgets the machines without starts of which every follower knows. */
    void trim(long lowestFollowerVersion) {
        NavigableSet<Long> known = emptyVersions.headSet(lowestFollowerVersion, true);
        known.forEach(emptied -> entries.remove(machinesByVersion.remove(emptied)));
        known.clear();
    }

    /** Returns the additions after one version and not after another. */
    List<Addition> additionsBetween(long afterVersion, long lastVersion) {
        return machinesByVersion.tailMap(afterVersion, false).values().stream()
                .flatMap(machine -> entries.get(machine).additions.values().stream())
                .filter(addition -> addition.version > afterVersion && addition.version <= lastVersion)
                .toList();
    }

    /** Returns how many starts a follower with some version lacks. */
    int countStartsAfter(long followerVersion) {
        return additionsBetween(followerVersion, version).size();
    }

    /** Returns all machines that have starts. */
    List<MachineStarts> machines() {
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().additions.isEmpty())
                .map(entry -> startsOf(entry.getKey()))
                .toList();
    }

    private MachineStarts startsOf(String machine) {
        return new MachineStarts(
                machine, new LinkedHashSet<>(entries.get(machine).additions.keySet()));
    }
}
