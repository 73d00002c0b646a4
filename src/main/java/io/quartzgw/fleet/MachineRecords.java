package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.eventloop.CoalescedTask;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.PackedRecords;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Records of rented machines in the state service, packed into pages. A machine's description is written when it is
 * rented. A machine is marked as used before the first task is started on it. After a failover, a machine without a
 * mark therefore runs no tasks that could be unaccounted. Marks have separate pages, since starts wait for them and
 * they are far smaller than descriptions.
 */
public final class MachineRecords {
    /** Key prefix of the pages with descriptions. */
    public static final String PREFIX = "mach/";
    /** Key prefix of the pages with marks. */
    public static final String USED_MARK_PREFIX = "used/";

    private static final int RETRY_MS = 200;
    /** The fraction of this controller's write budget that descriptions may use while no start waits for a mark. */
    private static final double BACKGROUND_FRACTION = 0.25;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final ClusterState cluster;
    private final long maxClockSkewMs;
    private final Consumer<Machine> onMarked;
    private final PackedRecords descriptions;
    private final PackedRecords marks;
    private final Set<Machine> pendingMarks = new LinkedHashSet<>();
    private final CoalescedTask flushLater;
    private boolean writeNeeded;
    private boolean writeInFlight;
    private long nextBackgroundWriteAt;

    /**
     * @param maxClockSkewMs the maximum difference between the wall clocks of two controllers
     * @param onMarked is notified when a machine's mark is written
     */
    public MachineRecords(
            EventLoop eventLoop,
            StoreClient store,
            LeaderTerm term,
            ClusterState cluster,
            long maxClockSkewMs,
            Consumer<Machine> onMarked) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
        this.cluster = cluster;
        this.maxClockSkewMs = maxClockSkewMs;
        this.onMarked = onMarked;
        this.descriptions = new PackedRecords(store, PREFIX, this::guardedTransaction);
        this.marks = new PackedRecords(store, USED_MARK_PREFIX, this::guardedTransaction);
        this.flushLater = new CoalescedTask(eventLoop, this::flush);
    }

    private Transaction guardedTransaction() {
        return new Transaction().require(Leadership.TERM_KEY, term.termRevision());
    }

    /**
     * Loads the records of previous leaders. A machine may have a type that the table lacks: the cloud has withdrawn
     * the type, or this controller's table is older than the rental. Such a machine may run tasks like any other.
     *
     * @param descriptionPages the pages with descriptions
     * @param markPages the pages with marks, read after the pages with descriptions
     */
    public void load(
            List<KeyValue> descriptionPages,
            List<KeyValue> markPages,
            MachineTypes types,
            long now,
            Consumer<Machine> found) {
        Map<String, Machine> machines = new LinkedHashMap<>();
        descriptions.load(descriptionPages, (id, record) -> {
            MachineRecordCodec.Description description = MachineRecordCodec.decodeDescription(record);
            machines.put(id, machine(id, typeOf(description, types), description, now));
        });
        marks.load(markPages, (id, mark) -> loadMark(id, mark, machines));
        machines.values().forEach(found);
    }

    private static MachineType typeOf(MachineRecordCodec.Description description, MachineTypes types) {
        return types.find(description.type())
                .filter(type -> description.size().map(type.size()::equals).orElse(true))
                .orElseGet(() -> MachineType.unlisted(
                        description.type(), description.size().orElseGet(() -> largestSize(types))));
    }

    // A description of an earlier version does not state the size. A size that is too large is safe: it counts against
    // quotas, and an agent refuses a task that does not fit.
    private static Resources largestSize(MachineTypes types) {
        return types.all().stream().map(MachineType::size).reduce(Resources.NONE, Resources::max);
    }

    private Machine machine(String id, MachineType type, MachineRecordCodec.Description description, long now) {
        // The computed rental time is never earlier than the actual one. Otherwise a machine that is too new for the
        // cloud's list might be removed.
        long ageMs = Math.max(0, eventLoop.wallClockMs() - description.rentedAtS() * 1000 - maxClockSkewMs);
        return new Machine(id, type, description.zone(), description.spot(), now - ageMs, now);
    }

    private void loadMark(String id, JsonNode mark, Map<String, Machine> machines) {
        Machine machine = machines.get(id);
        if (machine == null) {
            marks.removeLazily(id);
            return;
        }
        machine.address(MachineRecordCodec.decodeMark(mark));
        machine.markHasRunTasks();
    }

    /** Schedules a write of a rented machine's description; the first start on the machine waits for it too. */
    public void scheduleDescription(Machine machine) {
        long rentedAtMs = eventLoop.wallClockMs() - (eventLoop.nowMs() - machine.rentedAt());
        // Rounded up, so that the recorded age is never above the actual one.
        descriptions.put(machine.id(), MachineRecordCodec.encodeDescription(machine, rentedAtMs / 1000 + 1), 0);
        writeNeeded = true;
    }

    /** Marks a machine as used; the first start on it waits until the mark is written. */
    public void markUsed(Machine machine) {
        if (!machine.hasRunTasks() && pendingMarks.add(machine)) {
            if (!descriptions.contains(machine.id())) {
                // The machine is not known to be rented by this leader, so its description was not written yet.
                scheduleDescription(machine);
            }
            marks.put(machine.id(), MachineRecordCodec.encodeMark(machine.address()), 0);
            writeNeeded = true;
        }
    }

    /** Drops the records of a machine that certainly no longer exists. */
    public void removeRecords(Machine machine) {
        pendingMarks.remove(machine);
        descriptions.removeLazily(machine.id());
        if (marks.contains(machine.id())) {
            marks.remove(machine.id());
            writeNeeded = true;
        }
    }

    /** Writes pending changes, one write at a time. Changes made during a write are batched into the next one. */
    public void flush() {
        if (writeInFlight || !writeNeeded || !term.isConfirmed()) {
            return;
        }
        if (pendingMarks.isEmpty() && eventLoop.nowMs() < nextBackgroundWriteAt) {
            flushLater.schedule(nextBackgroundWriteAt - eventLoop.nowMs());
            return;
        }
        writeInFlight = true;
        writeNeeded = false;
        List<Machine> marked = List.copyOf(pendingMarks);
        int pages = descriptions.dirtyPageCount() + marks.dirtyPageCount();
        nextBackgroundWriteAt = eventLoop.nowMs() + store.writePauseMs(pages, BACKGROUND_FRACTION);
        RequestUrgency urgency = marked.isEmpty() ? RequestUrgency.BACKGROUND : RequestUrgency.HIGH;
        // A mark is useless without its description, so the description is written first.
        descriptions.write(urgency, descriptionsWritten -> {
            if (descriptionsWritten) {
                marks.write(urgency, marksWritten -> onWritten(marked, marksWritten));
            } else {
                onWritten(marked, false);
            }
        });
    }

    private void onWritten(List<Machine> marked, boolean success) {
        if (!success) {
            eventLoop.after(RETRY_MS, () -> {
                writeNeeded = true;
                writeInFlight = false;
            });
            return;
        }
        writeInFlight = false;
        for (Machine machine : marked) {
            if (pendingMarks.remove(machine)) {
                machine.markHasRunTasks();
                if (cluster.contains(machine)) {
                    onMarked.accept(machine);
                }
            }
        }
    }
}
