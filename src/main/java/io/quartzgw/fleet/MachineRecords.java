package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.loop.CoalescedTask;
import io.quartzgw.loop.Kernel;
import io.quartzgw.placement.Cluster;
import io.quartzgw.placement.Machine;
import io.quartzgw.store.Entry;
import io.quartzgw.store.PackedRecords;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Txn;
import io.quartzgw.store.Urgency;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Rented machines in the state service, packed. A machine's description is written when it is rented. A machine is
 * marked as used before its first start, so that after a takeover one that never ran anything leaves no task
 * unaccounted. The marks have pages of their own: starts wait for them, and they are far smaller than descriptions.
 */
public final class MachineRecords {
    public static final String PREFIX = "mach/";
    public static final String MARK_PREFIX = "used/";
    private static final int RETRY_MS = 200;
    /** The part of this node's changes that descriptions may take while no start waits. */
    private static final double BACKGROUND_PART = 0.25;

    private final Kernel kernel;
    private final StoreClient store;
    private final LeaderTerm term;
    private final Cluster cluster;
    private final long clocksApartMs;
    private final Consumer<Machine> used;
    private final PackedRecords descriptions;
    private final PackedRecords marks;
    private final Set<Machine> marking = new LinkedHashSet<>();
    private final CoalescedTask flushLater;
    private boolean due;
    private boolean writing;
    private long backgroundAt;

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
        this.store = store;
        this.term = term;
        this.cluster = cluster;
        this.clocksApartMs = clocksApartMs;
        this.used = used;
        this.descriptions = new PackedRecords(store, PREFIX, this::guarded);
        this.marks = new PackedRecords(store, MARK_PREFIX, this::guarded);
        this.flushLater = new CoalescedTask(kernel, this::flush);
    }

    private Txn guarded() {
        return new Txn().guard(Leadership.TERM, term.revision());
    }

    /**
     * Takes the records that a former leader left; a machine whose type is no longer known is left out.
     *
     * @param described the pages of descriptions
     * @param marked the pages of marks, read after those of descriptions
     */
    public void load(List<Entry> described, List<Entry> marked, MachineTypes types, long now, Consumer<Machine> found) {
        Map<String, Machine> machines = new LinkedHashMap<>();
        descriptions.load(described, (id, record) -> {
            MachineType type = types.get(record.path(0).asText());
            if (type == null) {
                return;
            }
            // Never earlier than it was: a machine that the list can't have yet must not be taken for gone.
            long age = Math.max(0, kernel.wallClock() - record.path(3).asLong() * 1000 - clocksApartMs);
            machines.put(
                    id,
                    new Machine(
                            id, type, record.path(1).asText(), record.path(2).asBoolean(), now - age, now));
        });
        marks.load(marked, (id, address) -> {
            Machine machine = machines.get(id);
            if (machine == null) {
                marks.removeLater(id);
                return;
            }
            machine.address(Endpoint.parse(address.asText()));
            machine.markUsed();
        });
        machines.values().forEach(found);
    }

    /** Notes a rented machine, to be described soon; its first start waits for that too. */
    public void note(Machine machine) {
        ArrayNode description = Json.array()
                .add(machine.type().name())
                .add(machine.zone())
                .add(machine.spot())
                .add((kernel.wallClock() - (kernel.now() - machine.rentedAt())) / 1000 + 1);
        descriptions.put(machine.id(), description, 0);
        due = true;
    }

    /** Marks a machine as used; its first start waits for this. */
    public void mark(Machine machine) {
        if (!machine.used() && marking.add(machine)) {
            if (!descriptions.has(machine.id())) {
                // It was not rented by this leader, as far as it knows.
                note(machine);
            }
            marks.put(machine.id(), TextNode.valueOf(machine.address().toString()), 0);
            due = true;
        }
    }

    /** Drops the records of a machine that is surely gone. */
    public void drop(Machine machine) {
        marking.remove(machine);
        descriptions.removeLater(machine.id());
        if (marks.has(machine.id())) {
            marks.remove(machine.id());
            due = true;
        }
    }

    /** Writes what is due, one write at a time: what falls due meanwhile goes together into the next. */
    public void flush() {
        if (writing || !due || !term.confirmed()) {
            return;
        }
        if (marking.isEmpty() && kernel.now() < backgroundAt) {
            flushLater.after(backgroundAt - kernel.now());
            return;
        }
        writing = true;
        due = false;
        List<Machine> marked = List.copyOf(marking);
        int pages = descriptions.changedPages() + marks.changedPages();
        backgroundAt = kernel.now() + store.pauseMsAfter(pages, BACKGROUND_PART);
        Urgency urgency = marked.isEmpty() ? Urgency.LAST : Urgency.FIRST;
        // A mark says nothing without its description, so that is written first.
        descriptions.write(urgency, described -> {
            if (described) {
                marks.write(urgency, written -> written(marked, written));
            } else {
                written(marked, false);
            }
        });
    }

    private void written(List<Machine> marked, boolean written) {
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
    }
}
