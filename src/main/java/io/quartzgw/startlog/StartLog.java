package io.quartzgw.startlog;

import io.quartzgw.eventloop.CoalescedTask;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.model.Attempt;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.PackedRecords;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores, for each machine, the starts that direct calls (requests from the leader to an agent) may carry. One instance
 * serves one term.
 *
 * <p>A start is sent in a direct call only after it is stored here. The next leader can therefore read every
 * outstanding start, even if all controllers crash. One write stores all waiting starts. While the write budget is
 * exhausted or the state service does not respond, starts are sent only in heartbeat responses, which agents never
 * execute late. A start that is no longer outstanding is removed with the next write of its page.
 *
 * <p>Every write is conditional on this term and on the revision of its page. A write of a deposed leader either fails
 * or was applied before its successor read the log, and a delayed duplicate has no effect.
 */
public final class StartLog {
    /** Key prefix of the log's pages. */
    public static final String PREFIX = "sent/";

    private static final Logger LOG = LoggerFactory.getLogger(StartLog.class);
    /** Fraction of this controller's write budget that the log may use while starts wait to be stored. */
    private static final double WRITE_FRACTION = 0.5;
    /** Fraction of the write budget for writes that only remove starts that were dropped from memory but are stored. */
    private static final double CLEANUP_FRACTION = 0.1;
    /** Delay before a page with dropped starts is written, in heartbeat intervals; a new start may write it earlier. */
    private static final double CLEANUP_DELAY_HEARTBEATS = 2;
    /** Delay after a failed write, in heartbeat intervals. */
    private static final double RETRY_DELAY_HEARTBEATS = 0.1;
    /**
     * Maximum number of starts in the log; further starts are sent only in heartbeat responses. The size is limited
     * because a new leader has to read the log before it does anything else.
     */
    private static final int MAX_STARTS = 20_000;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final PackedRecords records;
    private final LegacyReplicas legacyReplicas;
    private final LogWriteMonitor writeMonitor;
    private final CoalescedTask delayedFlush;
    private final long cleanupDelayMs;
    private final long retryDelayMs;
    /** Keys that have the log's prefix but are not page keys. */
    private final List<String> nonPageKeys = new ArrayList<>();

    private final Map<String, Map<Attempt, LogEntry>> entriesByMachine = new HashMap<>();
    /** Entries that are not stored yet, in the order in which they were added. */
    private final Set<LogEntry> waiting = new LinkedHashSet<>();

    private Consumer<String> onStored = machine -> {};
    private int size;
    private boolean loaded;
    private boolean writeInFlight;
    private long nextWriteAtMs;
    /** Time at which pages with dropped starts are due to be rewritten, if a rewrite is scheduled. */
    private Optional<Long> cleanupAtMs = Optional.empty();

    /**
     * Creates the log of the current term.
     *
     * @param heartbeatMs the heartbeat interval of agents
     */
    public StartLog(EventLoop eventLoop, StoreClient store, LeaderTerm term, long heartbeatMs) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.term = term;
        this.records = new PackedRecords(store, PREFIX, this::fencedTransaction);
        this.legacyReplicas = new LegacyReplicas(eventLoop, store, term);
        this.writeMonitor = new LogWriteMonitor(eventLoop, term);
        this.delayedFlush = new CoalescedTask(eventLoop, this::flush);
        this.cleanupDelayMs = (long) (CLEANUP_DELAY_HEARTBEATS * heartbeatMs);
        this.retryDelayMs = (long) (RETRY_DELAY_HEARTBEATS * heartbeatMs);
    }

    private Transaction fencedTransaction() {
        return new Transaction().require(Leadership.TERM_KEY, term.termRevision());
    }

    /** Sets the listener that receives the ID of a machine whenever one of its starts has been stored. */
    public void onStored(Consumer<String> listener) {
        this.onStored = listener;
    }

    // ---- starts of previous leaders

    /** Loads the log of previous leaders from pages read from the state service. */
    public LoadedStarts load(List<KeyValue> pages) {
        List<KeyValue> readable = new ArrayList<>();
        int unreadable = 0;
        for (KeyValue page : pages) {
            if (records.isPageKey(page.key()) && StartRecordCodec.isReadable(page.value())) {
                readable.add(page);
            } else {
                unreadable++;
                handleUnreadable(page);
            }
        }
        Map<String, Set<Attempt>> starts = new LinkedHashMap<>();
        records.load(readable, (name, machine) -> {
            Attempt start = StartRecordCodec.decodeName(name).orElseThrow();
            String machineId = StartRecordCodec.decodeMachine(machine).orElseThrow();
            addStored(machineId, start);
            starts.computeIfAbsent(machineId, id -> new LinkedHashSet<>()).add(start);
        });
        loaded = true;
        scheduleCleanup();
        List<MachineStarts> machines = starts.entrySet().stream()
                .map(entry -> new MachineStarts(entry.getKey(), entry.getValue()))
                .toList();
        return new LoadedStarts(machines, unreadable);
    }

    private void handleUnreadable(KeyValue page) {
        if (records.isPageKey(page.key())) {
            records.addUnreadablePage(page);
        } else {
            nonPageKeys.add(page.key());
        }
        // Other keys with the log's prefix count as unreadable pages too.
        eventLoop.increment("startlog.unreadable_pages", 1);
        LOG.atWarn()
                .addKeyValue("key", page.key())
                .addKeyValue("revision", page.revision())
                .addKeyValue("term", term.number())
                .log("start log page unreadable");
    }

    /** Drops the unreadable pages; called once no machine is left that they may refer to. */
    public void resetUnreadablePages() {
        records.resetUnreadablePages();
        scheduleCleanup();
        // If a deletion fails, the next leader reads the key and deletes it.
        nonPageKeys.forEach(
                key -> store.commit(fencedTransaction().delete(key), RequestUrgency.BACKGROUND, outcome -> {}));
        nonPageKeys.clear();
    }

    private void addStored(String machine, Attempt start) {
        LogEntry entry = new LogEntry(machine, start, eventLoop.nowMs());
        entry.markStored();
        entriesOf(machine).put(start, entry);
        size++;
    }

    // ---- this leader's starts

    /**
     * Replaces the starts of a machine: all that a direct call may carry from now on or that earlier ones may deliver.
     */
    public void setStarts(String machine, Set<Attempt> starts) {
        Map<Attempt, LogEntry> current = entriesByMachine.getOrDefault(machine, Map.of());
        current.values().stream()
                .filter(entry -> !starts.contains(entry.start()))
                .toList()
                .forEach(this::drop);
        for (Attempt start : starts) {
            if (!current.containsKey(start) && size < MAX_STARTS) {
                add(new LogEntry(machine, start, eventLoop.nowMs()));
            }
        }
    }

    private Map<Attempt, LogEntry> entriesOf(String machine) {
        return entriesByMachine.computeIfAbsent(machine, id -> new LinkedHashMap<>());
    }

    private void add(LogEntry entry) {
        entriesOf(entry.machine()).put(entry.start(), entry);
        size++;
        waiting.add(entry);
        records.put(StartRecordCodec.encodeName(entry.start()), StartRecordCodec.encodeMachine(entry.machine()), 0);
    }

    private void drop(LogEntry entry) {
        Map<Attempt, LogEntry> machineEntries = entriesByMachine.get(entry.machine());
        machineEntries.remove(entry.start());
        if (machineEntries.isEmpty()) {
            entriesByMachine.remove(entry.machine());
        }
        size--;
        waiting.remove(entry);
        records.removeLazily(StartRecordCodec.encodeName(entry.start()));
        scheduleCleanup();
    }

    private void scheduleCleanup() {
        if (cleanupAtMs.isEmpty()) {
            cleanupAtMs = Optional.of(eventLoop.nowMs() + cleanupDelayMs);
        }
    }

    /**
     * Returns whether a direct call may carry a start: it is stored, and the replicas of controllers of an earlier
     * version are invalidated, so that they do not read them after a failover.
     */
    public boolean maySendDirectly(String machine, Attempt start) {
        LogEntry entry = entriesByMachine.getOrDefault(machine, Map.of()).get(start);
        return entry != null && entry.isStored() && legacyReplicas.areInvalidated();
    }

    // ---- writes

    /** Writes pending changes, one write at a time; called at the end of every event loop batch. */
    public void flush() {
        if (!loaded || writeInFlight || !term.isConfirmed()) {
            return;
        }
        if (!legacyReplicas.areInvalidated()) {
            legacyReplicas.invalidate();
            return;
        }
        boolean cleanupDue = cleanupAtMs.isPresent() && eventLoop.nowMs() >= cleanupAtMs.get();
        if (waiting.isEmpty() && !cleanupDue) {
            cleanupAtMs.ifPresent(atMs -> delayedFlush.schedule(atMs - eventLoop.nowMs()));
        } else if (eventLoop.nowMs() < nextWriteAtMs) {
            delayedFlush.schedule(nextWriteAtMs - eventLoop.nowMs());
        } else {
            write(cleanupDue);
        }
    }

    private void write(boolean cleanup) {
        if (cleanup) {
            cleanupAtMs = Optional.empty();
            records.rewriteOutdatedPages();
        }
        List<LogEntry> written = List.copyOf(waiting);
        RequestUrgency urgency = written.isEmpty() ? RequestUrgency.BACKGROUND : RequestUrgency.NORMAL;
        double fraction = written.isEmpty() ? CLEANUP_FRACTION : WRITE_FRACTION;
        long startedAtMs = eventLoop.nowMs();
        nextWriteAtMs = startedAtMs + store.writePauseMs(records.dirtyPageCount(), fraction);
        writeInFlight = true;
        eventLoop.increment("startlog.pages_written", records.dirtyPageCount());
        records.write(urgency, success -> onWritten(written, success, startedAtMs));
    }

    private void onWritten(List<LogEntry> written, boolean success, long startedAtMs) {
        writeInFlight = false;
        if (!term.isCurrent()) {
            return;
        }
        if (success) {
            writeMonitor.onWriteSucceeded();
            written.forEach(this::markStored);
        } else {
            writeMonitor.onWriteFailed(startedAtMs, waiting.size());
            nextWriteAtMs = eventLoop.nowMs() + retryDelayMs;
            scheduleCleanup(); // the failed write may have included a cleanup
        }
    }

    private void markStored(LogEntry entry) {
        // An entry dropped during the write must not count as stored; adding its start again creates a new entry.
        if (waiting.remove(entry)) {
            entry.markStored();
            eventLoop.increment("startlog.starts", 1);
            eventLoop.increment("startlog.wait_ms", eventLoop.nowMs() - entry.addedAtMs());
            onStored.accept(entry.machine());
        }
    }

    // ---- metrics

    /** Publishes the size of the log and the age of the oldest waiting start; called regularly. */
    public void report() {
        long oldestMs = waiting.stream()
                .findFirst()
                .map(entry -> eventLoop.nowMs() - entry.addedAtMs())
                .orElse(0L);
        eventLoop.setGauge("startlog.size", size);
        eventLoop.setGauge("startlog.pages", records.pageCount());
        eventLoop.setGauge("startlog.waiting", waiting.size());
        eventLoop.setGauge("startlog.oldest_waiting_ms", oldestMs);
    }
}
