package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import io.quartzgw.model.MachineType;
import io.quartzgw.store.RequestUrgency;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.Transaction;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The table of machine types, on every node. The last table is kept in the state service, so that a node that starts
 * during an outage of the cloud can decide on submissions.
 */
public final class MachineCatalog {
    private static final String KEY = "types";
    private static final int RETRY_MS = 500;
    private static final int REFRESH_MS = 60_000;

    private final EventLoop kernel;
    private final StoreClient store;
    private final CloudClient cloud;
    private final BooleanSupplier leading;
    private Map<String, MachineType> types = Map.of();

    /** @param leading whether this node leads: only the leader asks the cloud and writes the table */
    public MachineCatalog(EventLoop kernel, StoreClient store, CloudClient cloud, BooleanSupplier leading) {
        this.kernel = kernel;
        this.store = store;
        this.cloud = cloud;
        this.leading = leading;
    }

    /** Reads the stored table and begins to refresh it. */
    public void start() {
        readStored();
        kernel.every(REFRESH_MS, () -> {
            if (leading.getAsBoolean()) {
                fetchFromCloud();
            } else {
                readStored();
            }
        });
    }

    public boolean isKnown() {
        return !types.isEmpty();
    }

    public Collection<MachineType> all() {
        return types.values();
    }

    /** The type, or null when the table doesn't have it. */
    public MachineType get(String name) {
        return types.get(name);
    }

    private void readStored() {
        store.get(KEY, found -> {
            if (found != null && !found.isEmpty()) {
                update(found.get(0).value());
            } else if (!isKnown()) {
                fetchFromCloud();
            }
        });
    }

    private void fetchFromCloud() {
        cloud.machineTypes(table -> {
            if (table != null && table.path("host_types").size() > 0) {
                update(table);
                store.commit(new Transaction().put(KEY, table()), RequestUrgency.NORMAL, outcome -> {});
            } else if (!isKnown()) {
                kernel.after(RETRY_MS, this::readStored);
            }
        });
    }

    private void update(JsonNode table) {
        Map<String, MachineType> read = new LinkedHashMap<>();
        table.path("host_types").forEach(node -> {
            MachineType type = MachineType.fromJson(node);
            read.put(type.name(), type);
        });
        if (!read.isEmpty()) {
            types = read;
        }
    }

    private ObjectNode table() {
        ObjectNode table = Json.object();
        ArrayNode list = table.putArray("host_types");
        types.values().forEach(type -> list.add(type.toJson()));
        return table;
    }
}
