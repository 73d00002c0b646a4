package io.quartzgw.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/**
 * Many small records packed into few values under one prefix, so that a write costs the same whether one record has
 * changed or a hundred.
 *
 * <p>A transaction may be applied minutes late. Every write of a page requires the page's revision, so of two writes
 * that were sent from the same state only one can ever be applied, and a late copy changes nothing.
 */
public final class PackedRecords {
    /** The fraction of a value that records may fill; the rest is for punctuation. */
    private static final double FILL_FACTOR = 0.85;
    /** All pages of a transaction together; the store takes 64 KiB with everything around them. */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    private static final Pattern PAGE_NUMBER = Pattern.compile("\\d{1,9}");

    private final StoreClient store;
    private final String prefix;
    private final Supplier<Transaction> transactionFactory;
    private final int pageBytes;
    private final int pagesPerTransaction;
    private final Map<Integer, RecordPage> pages = new TreeMap<>();
    private final Map<String, RecordPage> pageByKey = new HashMap<>();

    /** What is left of one {@link #write}. */
    private record PendingWrite(List<RecordPage> pages, RequestUrgency urgency, Consumer<Boolean> callback) {}

    /** @param transactionFactory an empty transaction that only the present leader can commit */
    public PackedRecords(StoreClient store, String prefix, Supplier<Transaction> transactionFactory) {
        this.store = store;
        this.prefix = prefix;
        this.transactionFactory = transactionFactory;
        this.pageBytes = (int) (store.maxValueBytes() * FILL_FACTOR);
        this.pagesPerTransaction =
                Math.max(1, Math.min(store.maxTransactionWrites(), MAX_TRANSACTION_BYTES / store.maxValueBytes()));
    }

    /** Takes over the stored pages, and passes each record to a consumer, which may remove it. */
    public void load(List<KeyValue> entries, BiConsumer<String, JsonNode> consumer) {
        for (KeyValue entry : entries) {
            RecordPage page = RecordPage.decode(pageNumber(entry), entry);
            pages.put(page.number(), page);
            List.copyOf(page.keys()).forEach(key -> assignToPage(key, page));
        }
        List.copyOf(pageByKey.keySet())
                .forEach(key -> consumer.accept(key, pageByKey.get(key).record(key)));
    }

    private int pageNumber(KeyValue entry) {
        return Integer.parseInt(entry.key().substring(prefix.length()));
    }

    // A record that was removed lazily and put on another page may stand on both.
    private void assignToPage(String key, RecordPage page) {
        RecordPage previous = pageByKey.put(key, page);
        if (previous != null) {
            previous.remove(key);
            previous.setOutdated(true);
        }
    }

    /** Whether a key is that of a page. */
    public boolean isPageKey(String key) {
        return key.startsWith(prefix)
                && PAGE_NUMBER.matcher(key.substring(prefix.length())).matches();
    }

    /** Keeps a stored page that can't be read as it is: it is neither filled nor written. */
    public void keepUnreadable(KeyValue entry) {
        RecordPage page = RecordPage.empty(pageNumber(entry));
        page.setRevision(entry.revision());
        page.setUnreadable(true);
        pages.put(page.number(), page);
    }

    /** Makes the pages that can't be read empty ones, with the next {@link #write}. */
    public void dropUnreadable() {
        pages.values().stream().filter(RecordPage::unreadable).forEach(page -> {
            page.setUnreadable(false);
            page.setDirty(true);
        });
    }

    /** How many pages there are. */
    public int pageCount() {
        return pages.size();
    }

    /** Has the pages that still store removed records written with the next {@link #write}. */
    public void rewriteOutdatedPages() {
        pages.values().stream().filter(RecordPage::outdated).forEach(page -> page.setDirty(true));
    }

    /**
     * Puts a record, to be written with the next {@link #write}.
     *
     * @param reservedBytes how long the record may yet become
     */
    public void put(String key, JsonNode record, int reservedBytes) {
        int size = RecordPage.recordSizeBytes(key, record, reservedBytes);
        RecordPage page = pageByKey.get(key);
        if (page == null) {
            page = pageWithRoomFor(key, size).orElseGet(this::addPage);
            pageByKey.put(key, page);
        } else if (page.totalBytesWith(key, size) > store.maxValueBytes()) {
            // A page that the store rejects would block all others for good.
            throw new IllegalArgumentException(key + " has outgrown what was reserved for it");
        }
        page.put(key, record, size);
        page.setDirty(true);
    }

    private Optional<RecordPage> pageWithRoomFor(String key, int size) {
        return pages.values().stream()
                .filter(page -> !page.unreadable() && page.totalBytesWith(key, size) <= pageBytes)
                .findFirst();
    }

    private RecordPage addPage() {
        int number =
                pages.keySet().stream().mapToInt(existing -> existing + 1).max().orElse(0);
        RecordPage page = RecordPage.empty(number);
        pages.put(number, page);
        return page;
    }

    /** Whether there is a record with this key. */
    public boolean contains(String key) {
        return pageByKey.containsKey(key);
    }

    /** How many pages the next {@link #write} takes. */
    public int dirtyPageCount() {
        return dirtyPages().size();
    }

    private List<RecordPage> dirtyPages() {
        return pages.values().stream().filter(RecordPage::dirty).toList();
    }

    /** Removes a record; it leaves the state store with the next change of its page. */
    public void removeLazily(String key) {
        removeFromPage(key);
    }

    /** Removes a record, to be written with the next {@link #write}. */
    public void remove(String key) {
        removeFromPage(key).ifPresent(page -> page.setDirty(true));
    }

    private Optional<RecordPage> removeFromPage(String key) {
        Optional<RecordPage> page = Optional.ofNullable(pageByKey.remove(key));
        page.ifPresent(found -> {
            found.remove(key);
            found.setOutdated(true);
        });
        return page;
    }

    /**
     * Writes what has changed up to now and calls back with whether that is in the state store; one write at a time.
     * What changes meanwhile is left for the next write: where the budget is short something always does, and a write
     * that included it would never end.
     */
    public void write(RequestUrgency urgency, Consumer<Boolean> callback) {
        writeNextBatch(new PendingWrite(dirtyPages(), urgency, callback));
    }

    private void writeNextBatch(PendingWrite write) {
        if (write.pages().isEmpty()) {
            write.callback().accept(true);
            return;
        }
        // No more than a second's worth, so that others get their turn.
        int maxPages = Math.max(1, Math.min(pagesPerTransaction, (int) store.writesPerS()));
        int batchSize = Math.min(maxPages, write.pages().size());
        List<RecordPage> batch = write.pages().subList(0, batchSize);
        List<RecordPage> rest = write.pages().subList(batchSize, write.pages().size());
        PendingWrite remainder = new PendingWrite(rest, write.urgency(), write.callback());
        store.commit(buildTransaction(batch), write.urgency(), outcome -> onOutcome(outcome, batch, remainder));
    }

    private Transaction buildTransaction(List<RecordPage> batch) {
        Transaction transaction = transactionFactory.get();
        for (RecordPage page : batch) {
            transaction.require(pageKey(page), page.revision()).put(pageKey(page), page.encode());
            page.setDirty(false);
            page.setOutdated(false);
        }
        return transaction;
    }

    private void onOutcome(TransactionOutcome outcome, List<RecordPage> batch, PendingWrite remainder) {
        if (outcome instanceof TransactionOutcome.Committed committed) {
            batch.forEach(page -> page.setRevision(committed.revision()));
            writeNextBatch(remainder);
            return;
        }
        batch.forEach(page -> page.setDirty(true));
        Deque<RecordPage> conflicting = new ArrayDeque<>();
        if (outcome instanceof TransactionOutcome.Conflict conflict) {
            batch.stream()
                    .filter(page -> conflict.failedKeys().contains(pageKey(page)))
                    .forEach(conflicting::add);
        }
        reloadRevisions(conflicting, () -> remainder.callback().accept(false));
    }

    // A conflict shows that a write without an answer was applied after all: its revision has to be read.
    private void reloadRevisions(Deque<RecordPage> conflicting, Runnable callback) {
        if (conflicting.isEmpty()) {
            callback.run();
            return;
        }
        RecordPage page = conflicting.removeLast();
        store.read(pageKey(page), result -> {
            if (result instanceof ReadResult.Found found) {
                page.setRevision(found.entry().revision());
            } else if (result instanceof ReadResult.Absent) {
                page.setRevision(Transaction.NO_REVISION);
            }
            reloadRevisions(conflicting, callback);
        });
    }

    private String pageKey(RecordPage page) {
        return prefix + page.number();
    }
}
