package io.quartzgw.fleet;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.store.ReadResult;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The table of machine types, which every controller has. The leader stores the latest table in the state service, so
 * that a controller that starts during an outage of the cloud can decide whether to accept submitted jobs.
 */
public final class MachineCatalog implements MachineTypes {
    private static final String KEY = "types";
    private static final int RETRY_MS = 500;
    private static final int REFRESH_MS = 60_000;

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final CloudClient cloud;
    private final BooleanSupplier leading;
    private Map<String, MachineType> types = Map.of();

    /**
     * @param leading whether this controller leads; only the leader refreshes the table from the cloud and stores it
     */
    public MachineCatalog(EventLoop eventLoop, StoreClient store, CloudClient cloud, BooleanSupplier leading) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.cloud = cloud;
        this.leading = leading;
    }

    /** Reads the stored table and starts to refresh it periodically. */
    public void start() {
        readStored();
        eventLoop.every(REFRESH_MS, () -> {
            if (leading.getAsBoolean()) {
                fetchFromCloud();
            } else {
                readStored();
            }
        });
    }

    @Override
    public boolean isKnown() {
        return !types.isEmpty();
    }

    @Override
    public Collection<MachineType> all() {
        return types.values();
    }

    @Override
    public Optional<MachineType> find(String name) {
        return Optional.ofNullable(types.get(name));
    }

    private void readStored() {
        store.read(KEY, this::onStoredTable);
    }

    private void onStoredTable(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            Map<String, MachineType> stored =
                    MachineTypeCodec.decodeTable(found.entry().value());
            if (!stored.isEmpty()) {
                types = stored;
            }
        } else if (!isKnown()) {
            fetchFromCloud();
        }
    }

    private void fetchFromCloud() {
        cloud.machineTypes(this::onCloudTable);
    }

    private void onCloudTable(Map<String, MachineType> offered) {
        if (!offered.isEmpty()) {
            types = offered;
            Transaction transaction = new Transaction().put(KEY, MachineTypeCodec.encodeTable(types.values()));
            store.commit(transaction, RequestUrgency.NORMAL, outcome -> {});
        } else if (!isKnown()) {
            eventLoop.after(RETRY_MS, this::readStored);
        }
    }
}
