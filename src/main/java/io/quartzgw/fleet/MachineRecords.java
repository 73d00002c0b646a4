package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import io.quartzgw.store.Entry;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.TxnOutcome;
import io.quartzgw.store.Urgency;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Rented machines in the state service. A machine is marked as used before its first start, so that
 * after a takeover one that never ran anything puts no task in doubt.
 */
public final class MachineRecords {
    public static final String PREFIX = "mach/";
    private static final int RETRY_MS = 200;

    private final Kernel kernel;
    private final StoreClient store;
    private final Leadership leadership;
    private final Cluster cluster;
    private final long termRevision;
    private final Consumer<Machine> used;
    private final Set<Machine> toMark = new LinkedHashSet<>();
    private final Set<Machine> toNote = new LinkedHashSet<>();
    private final Set<String> toDrop = new LinkedHashSet<>();
    private boolean writing;
    private boolean retrying;

    /** @param used told when a machine's mark is written */
    public MachineRecords(Kernel kernel, StoreClient store, Leadership leadership, Cluster cluster,
            long termRevision, Consumer<Machine> used) {
        this.kernel = kernel;
        this.store = store;
        this.leadership = leadership;
        this.cluster = cluster;
        this.termRevision = termRevision;
        this.used = used;
    }

    /** The machine of a record, or null when its type is no longer known. */
    public static Machine read(Entry entry, MachineTypes types, long now) {
        JsonNode value = entry.value();
        MachineType type = types.get(value.path("type").asText());
        if (type == null) {
            return null;
        }
        Machine machine = new Machine(entry.key().substring(PREFIX.length()), type, value.path("zone").asText(),
                value.path("spot").asBoolean(), now, now);
        if (value.hasNonNull("address")) {
            machine.address(Endpoint.parse(value.path("address").asText()));
        }
        machine.markRecorded();
        if (value.path("used").asBoolean()) {
            machine.markUsed();
        }
        return machine;
    }

    /** Notes a rented machine. */
    public void note(Machine machine) {
        toNote.add(machine);
    }

    /** Marks a machine as used; its first start waits for this. */
    public void mark(Machine machine) {
        if (!machine.used()) {
            toNote.remove(machine);
            toMark.add(machine);
        }
    }

    /** Drops the record of a machine that is surely gone. */
    public void drop(Machine machine) {
        toNote.remove(machine);
        toMark.remove(machine);
        if (machine.recorded()) {
            toDrop.add(machine.id());
        }
    }

    /** Writes what is due, in one transaction at a time. */
    public void flush() {
        if (writing || retrying || toMark.isEmpty() && toNote.isEmpty() && toDrop.isEmpty()
                || !leadership.confirmed()) {
            return;
        }
        if (toMark.isEmpty() && toDrop.isEmpty()) {
            writeNotes();
            return;
        }
        Txn txn = new Txn().guard(Leadership.TERM, termRevision);
        List<Machine> marked = new ArrayList<>();
        List<String> dropped = new ArrayList<>();
        take(toMark, marked, txn, machine -> txn.put(PREFIX + machine.id(), record(machine, true)));
        take(toDrop, dropped, txn, id -> txn.drop(PREFIX + id));
        writing = true;
        store.commit(txn, Urgency.FIRST, outcome -> {
            writing = false;
            if (outcome instanceof TxnOutcome.Committed) {
                marked.forEach(Machine::markUsed);
                marked.stream().filter(machine -> cluster.machine(machine.id()) == machine).forEach(used);
                return;
            }
            toMark.addAll(marked);
            toDrop.addAll(dropped);
            pause();
        });
    }

    // A note that is applied late must not take back the mark that came after it: it is only written
    // where the machine has no record yet.
    private void writeNotes() {
        Txn txn = new Txn().guard(Leadership.TERM, termRevision);
        List<Machine> noted = new ArrayList<>();
        take(toNote, noted, txn, machine -> txn.guard(PREFIX + machine.id(), Txn.ABSENT)
                .put(PREFIX + machine.id(), record(machine, false)));
        writing = true;
        store.commit(txn, Urgency.NORMAL, outcome -> {
            writing = false;
            if (outcome instanceof TxnOutcome.Committed) {
                noted.forEach(Machine::markRecorded);
                return;
            }
            for (Machine machine : noted) {
                if (outcome instanceof TxnOutcome.Conflict conflict
                        && conflict.failed().contains(PREFIX + machine.id())) {
                    machine.markRecorded();
                } else if (!cluster.gone(machine.id()) && !machine.used()) {
                    toNote.add(machine);
                }
            }
            pause();
        });
    }

    private void pause() {
        retrying = true;
        kernel.after(RETRY_MS, () -> retrying = false);
    }

    private <T> void take(Set<T> from, List<T> into, Txn txn, Consumer<T> write) {
        var each = from.iterator();
        while (each.hasNext() && txn.size() < store.txnOps()) {
            T item = each.next();
            each.remove();
            into.add(item);
            write.accept(item);
        }
    }

    private static ObjectNode record(Machine machine, boolean isUsed) {
        ObjectNode record = Json.object().put("type", machine.type().name()).put("zone", machine.zone())
                .put("spot", machine.spot()).put("used", isUsed);
        if (machine.address() != null) {
            record.put("address", machine.address().toString());
        }
        return record;
    }
}
