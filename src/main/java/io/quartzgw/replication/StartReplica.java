package io.quartzgw.replication;

import io.quartzgw.model.Attempt;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** What one controller holds of the log of one leader's starts. */
public final class StartReplica {
    private final long term;
    private final NavigableMap<String, Set<Attempt>> startsByMachine = new TreeMap<>();
    private long version;
    private boolean complete;

    /** Creates the replica of a leader's log that nothing has been received of. */
    StartReplica(long term) {
        this.term = term;
    }

    /** Creates the complete replica of a leader's log. */
    StartReplica(long term, long version, List<MachineStarts> machines) {
        this(term);
        put(machines);
        this.version = version;
        this.complete = true;
    }

    /** Returns the term of the leader. */
    public long term() {
        return term;
    }

    /** Returns the version of the log that this holds. */
    long version() {
        return version;
    }

    /** Returns whether this holds the whole log. */
    boolean isComplete() {
        return complete;
    }

    /** Applies the changes from the version that this holds; a replica that was complete once remains so. */
    void apply(ReplicaUpdate update) {
        put(update.changes());
        version = update.toVersion();
        complete |= update.complete();
    }

    private void put(List<MachineStarts> machines) {
        for (MachineStarts changed : machines) {
            if (changed.starts().isEmpty()) {
                startsByMachine.remove(changed.machine());
            } else {
                startsByMachine.put(changed.machine(), changed.starts());
            }
        }
    }

    /** Returns all machines with starts. */
    public List<MachineStarts> machines() {
        return startsByMachine.entrySet().stream()
                .map(entry -> new MachineStarts(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Returns the machines after one, in the order of their IDs, with so many starts or somewhat more. */
    ReplicaPage page(String after, int maxStarts) {
        List<MachineStarts> page = new ArrayList<>();
        int starts = 0;
        for (var entry : startsByMachine.tailMap(after, false).entrySet()) {
            if (starts >= maxStarts) {
                return new ReplicaPage(true, term, version, page, true);
            }
            page.add(new MachineStarts(entry.getKey(), entry.getValue()));
            starts += entry.getValue().size();
        }
        return new ReplicaPage(true, term, version, page, false);
    }
}
