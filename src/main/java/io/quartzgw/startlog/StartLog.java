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
 * The starts that direct calls may carry, by machine, recorded in the state service during one term.
 *
 * <p>A start leaves in a direct call only once it is stored here, so whichever controller leads next knows every start
 * that may still be on its way, even if all controllers have ended. One write stores all starts that wait. While the
 * write budget is short or the state service does not answer, starts leave in responses to heartbeats instead, which
 * are never executed late. A start that can't be on its way any more is dropped with the next write of its page.
 *
 * <p>Every write requires this term and the revision of its page: the write of a leader that was deposed fails, or its
 * successor has read it, and a late copy changes nothing.
 */
public final class StartLog {
    /** Prefix of the pages of the log. */
    public static final String PREFIX = "sent/";

    private static final Logger LOG = LoggerFactory.getLogger(StartLog.class);
    /** The fraction of this controller's write budget that the log may take while starts wait. */
    private static final double WRITE_FRACTION = 0.5;
    /** The fraction of it that may be spent on dropping starts which are void. */
    private static final double CLEANUP_FRACTION = 0.1;
    /** How long a stored start that is void may stay in the log while no other start is written, in heartbeats. */
    private static final double CLEANUP_DELAY_HEARTBEATS = 2;
    /** The pause after a failed write, in heartbeats. */
    private static final double RETRY_DELAY_HEARTBEATS = 0.1;
    /** Further starts leave in responses only: a new leader has to read the log before it does anything else. */
    private static final int MAX_STARTS = 20_000;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final LeaderTerm term;
    private final PackedRecords records;
    private final LegacyReplicas legacyReplicas;
    private final LogWriteMonitor writeMonitor;
    private final CoalescedTask flushLater;
    private final long cleanupDelayMs;
    private final long retryDelayMs;
    /** Keys with the prefix that are no pages. */
    private final List<String> nonPageKeys = new ArrayList<>();

    private final Map<String, Map<Attempt, LogEntry>> entriesByMachine = new HashMap<>();
    /** The starts that are not stored yet. */
    private final Set<LogEntry> waiting = new LinkedHashSet<>();

    private Consumer<String> onStored = machine -> {};
    private int size;
    private boolean loaded;
    private boolean writeInFlight;
    private long nextWriteAtMs;
    /** When pages that hold void starts are to be written, unless a start is written before. */
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
        this.flushLater = new CoalescedTask(eventLoop, this::flush);
        this.cleanupDelayMs = (long) (CLEANUP_DELAY_HEARTBEATS * heartbeatMs);
        this.retryDelayMs = (long) (RETRY_DELAY_HEARTBEATS * heartbeatMs);
    }

    private Transaction fencedTransaction() {
        return new Transaction().require(Leadership.TERM_KEY, term.termRevision());
    }

    /** Sets who is told of each machine some of whose starts have been stored. */
    public void onStored(Consumer<String> listener) {
        this.onStored = listener;
    }

    // ---- former leaders

    /** Takes over the log of former leaders, as it was read from the state service. */
    public FormerStarts load(List<KeyValue> pages) {
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
        return new FormerStarts(machines, unreadable);
    }

    private void handleUnreadable(KeyValue page) {
        if (records.isPageKey(page.key())) {
            records.keepUnreadable(page);
        } else {
            nonPageKeys.add(page.key());
        }
        eventLoop.increment("startlog.unreadable_pages", 1);
        LOG.atWarn()
                .addKeyValue("key", page.key())
                .addKeyValue("revision", page.revision())
                .addKeyValue("term", term.number())
                .log("start log unreadable");
    }

    /** Drops the pages that can't be read, since no machine is left that they may name. */
    public void dropUnreadablePages() {
        records.dropUnreadable();
        scheduleCleanup();
        // Where that fails, the next leader finds them again.
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

    /** Sets all starts that direct calls may carry to a machine from now on, or may still carry. */
    public void announce(String machine, Set<Attempt> starts) {
        Map<Attempt, LogEntry> known = entriesByMachine.getOrDefault(machine, Map.of());
        known.values().stream()
                .filter(entry -> !starts.contains(entry.start()))
                .toList()
                .forEach(this::drop);
        for (Attempt start : starts) {
            if (!known.containsKey(start) && size < MAX_STARTS) {
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
        Map<Attempt, LogEntry> ofMachine = entriesByMachine.get(entry.machine());
        ofMachine.remove(entry.start());
        if (ofMachine.isEmpty()) {
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

    /** Returns whether a start that was announced is stored, so that a direct call may carry it. */
    public boolean isStored(String machine, Attempt start) {
        LogEntry entry = entriesByMachine.getOrDefault(machine, Map.of()).get(start);
        return entry != null && entry.isStored() && legacyReplicas.areInvalidated();
    }

    // ---- writes

    /** Writes what has been announced, one write at a time; called at the end of every batch. */
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
            cleanupAtMs.ifPresent(atMs -> flushLater.schedule(atMs - eventLoop.nowMs()));
        } else if (eventLoop.nowMs() < nextWriteAtMs) {
            flushLater.schedule(nextWriteAtMs - eventLoop.nowMs());
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
        long begunAtMs = eventLoop.nowMs();
        nextWriteAtMs = begunAtMs + store.pauseMsAfter(records.dirtyPageCount(), fraction);
        writeInFlight = true;
        eventLoop.increment("startlog.pages_written", records.dirtyPageCount());
        records.write(urgency, success -> onWritten(written, success, begunAtMs));
    }

    private void onWritten(List<LogEntry> written, boolean success, long begunAtMs) {
        writeInFlight = false;
        if (!term.isCurrent()) {
            return;
        }
        if (success) {
            writeMonitor.onWriteSucceeded();
            written.forEach(this::markStored);
        } else {
            writeMonitor.onWriteFailed(begunAtMs, waiting.size());
            nextWriteAtMs = eventLoop.nowMs() + retryDelayMs;
            scheduleCleanup();
        }
    }

    private void markStored(LogEntry entry) {
        // One that was dropped meanwhile may have been stored or not, and would be announced as another entry.
        if (waiting.remove(entry)) {
            entry.markStored();
            eventLoop.increment("startlog.starts", 1);
            eventLoop.increment("startlog.wait_ms", eventLoop.nowMs() - entry.announcedAtMs());
            onStored.accept(entry.machine());
        }
    }

    // ---- what operators see

    /** Publishes the size of the log and how long starts wait for it; called regularly. */
    public void report() {
        long oldestMs = waiting.stream()
                .findFirst()
                .map(entry -> eventLoop.nowMs() - entry.announcedAtMs())
                .orElse(0L);
        eventLoop.setGauge("startlog.size", size);
        eventLoop.setGauge("startlog.pages", records.pageCount());
        eventLoop.setGauge("startlog.waiting", waiting.size());
        eventLoop.setGauge("startlog.oldest_waiting_ms", oldestMs);
    }
}
