package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import io.quartzgw.store.Entry;
import io.quartzgw.store.PackedRecords;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.Urgency;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Rented machines in the state service, packed. A machine is marked as used before its first start, so that after a
 * takeover one that never ran anything leaves no task unaccounted.
 */
public final class MachineRecords {
    public static final String PREFIX = "mach/";
    private static final int RETRY_MS = 200;
    /** How much a record grows when the machine's address becomes known. */
    private static final int ADDRESS_BYTES = 24;

    private final Kernel kernel;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final long clocksApartMs;
    private final Consumer<Machine> used;
    private final PackedRecords records;
    private final Set<Machine> marking = new LinkedHashSet<>();
    private boolean due;
    private boolean writing;

    /**
     * @param clocksApartMs how far the times of day of two controllers may be apart
     * @param used told when a machine's mark is written
     */
    public MachineRecords(
            Kernel kernel,
            StoreClient store,
            LeaderTerm term,
            Cluster cluster,
            long clocksApartMs,
            Consumer<Machine> used) {
        this.kernel = kernel;
        this.term = term;
        this.cluster = cluster;
        this.clocksApartMs = clocksApartMs;
        this.used = used;
        this.records = new PackedRecords(store, PREFIX, () -> new Txn().guard(Leadership.TERM, term.revision()));
    }

    /** Takes the records that a former leader left; a machine whose type is no longer known is left out. */
    public void load(List<Entry> entries, MachineTypes types, long now, Consumer<Machine> found) {
        records.load(entries, (id, record) -> {
            MachineType type = types.get(record.path(0).asText());
            if (type == null) {
                return;
            }
            // Never earlier than it was: a machine that the list can't have yet must not be taken for gone.
            long age = Math.max(0, kernel.wallClock() - record.path(5).asLong() * 1000 - clocksApartMs);
            Machine machine = new Machine(
                    id, type, record.path(1).asText(), record.path(2).asBoolean(), now - age, now);
            if (record.hasNonNull(4)) {
                machine.address(Endpoint.parse(record.path(4).asText()));
            }
            if (record.path(3).asBoolean()) {
                machine.markUsed();
            }
            found.accept(machine);
        });
    }

    /** Notes a rented machine; its record goes along with the next that has to be written. */
    public void note(Machine machine) {
        put(machine, false);
        due = true;
    }

    /** Marks a machine as used; its first start waits for this. */
    public void mark(Machine machine) {
        if (!machine.used() && marking.add(machine)) {
            put(machine, true);
            due = true;
        }
    }

    /** Drops the record of a machine that is surely gone. */
    public void drop(Machine machine) {
        marking.remove(machine);
        records.remove(machine.id());
        due = true;
    }

    /** Writes what is due, one write at a time: what falls due meanwhile goes together into the next. */
    public void flush() {
        if (writing || !due || !term.confirmed()) {
            return;
        }
        writing = true;
        due = false;
        List<Machine> marked = List.copyOf(marking);
        records.write(Urgency.FIRST, written -> {
            if (!written) {
                kernel.after(RETRY_MS, () -> {
                    due = true;
                    writing = false;
                });
                return;
            }
            writing = false;
            for (Machine machine : marked) {
                if (marking.remove(machine)) {
                    machine.markUsed();
                    if (cluster.machine(machine.id()) == machine) {
                        used.accept(machine);
                    }
                }
            }
        });
    }

    private void put(Machine machine, boolean isUsed) {
        ArrayNode record = Json.array()
                .add(machine.type().name())
                .add(machine.zone())
                .add(machine.spot())
                .add(isUsed)
                .add(machine.address() == null ? null : machine.address().toString())
                .add((kernel.wallClock() - (kernel.now() - machine.rentedAt())) / 1000 + 1);
        records.put(machine.id(), record, machine.address() == null ? Json.write(record).length + ADDRESS_BYTES : 0);
    }
}
