package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The cloud API, as specified by its protocol: machines are rented by idempotent requests, boot, may fail or be
 * reclaimed, and appear in the list of machines with a lag. Callers supply the time.
 */
public final class SimulatedCloud {
    private static final String DEFAULT_PAGE_SIZE = "500";

    private final long lagMs;
    private long bootMs;
    private final int capacity;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> machinesByRequest = new HashMap<>();
    private final List<Snapshot> history = new ArrayList<>();
    private final Function<String, String> addresses;
    private final Set<String> booted = new HashSet<>();
    private List<String> offeredTypes = List.of("small", "large");
    private int nextMachine;
    private boolean outage;
    private BootListener onBoot = (id, type, zone, spot) -> {};
    private Consumer<String> onRemoval = id -> {};

    /** Receives machines that have booted. */
    public interface BootListener {
        void booted(String id, String type, String zone, boolean spot);
    }

    private record Machine(String type, String zone, boolean spot, long rentedAt, boolean failed) {}

    /** The state of all machines at a time. */
    private record Snapshot(long time, Map<String, Machine> machines) {}

    /**
     * @param lagMs the age of the state shown by the list of machines
     * @param bootMs the boot time of a machine
     * @param capacity the maximum number of rented machines
     * @param addresses maps a machine's ID to the address of its agent
     */
    public SimulatedCloud(long lagMs, long bootMs, int capacity, Function<String, String> addresses) {
        this.addresses = addresses;
        this.lagMs = lagMs;
        this.bootMs = bootMs;
        this.capacity = capacity;
    }

    /** Sets the listener for booted machines, and that for the IDs of removed or failed machines. */
    public void onMachineChange(BootListener boot, Consumer<String> removal) {
        this.onBoot = boot;
        this.onRemoval = removal;
    }

    /** Makes a machine fail; from then on it is listed as failed. */
    public void fail(String id, long now) {
        Machine machine = machines.get(id);
        if (machine != null) {
            machines.put(id, new Machine(machine.type, machine.zone, machine.spot, machine.rentedAt, true));
            onRemoval.accept(id);
            addSnapshot(now);
        }
    }

    /** Reclaims a machine, which removes it from the list of machines. */
    public void reclaim(String id, long now) {
        if (machines.remove(id) != null) {
            onRemoval.accept(id);
            addSnapshot(now);
        }
    }

    /** Begins or ends an outage, during which the cloud API rejects every request. */
    public void setOutage(boolean on) {
        outage = on;
    }

    /** Sets which of the types "small" and "large" are listed; rented machines of another type remain. */
    public void setOfferedTypes(List<String> names) {
        offeredTypes = names;
    }

    /** Sets the boot time of machines, also of those that are booting. */
    public void setBootMs(long ms) {
        bootMs = ms;
    }

    /** The IDs of the machines that have booted and have not failed. */
    public List<String> running() {
        return machines.keySet().stream()
                .filter(id -> booted.contains(id) && !machines.get(id).failed)
                .toList();
    }

    /** Completes the boot of the machines whose boot time has passed. */
    public void advanceTo(long now) {
        machines.forEach((id, machine) -> {
            if (!machine.failed && now - machine.rentedAt >= bootMs && booted.add(id)) {
                onBoot.booted(id, machine.type, machine.zone, machine.spot);
            }
        });
    }

    /** Handles a request to the cloud API. */
    public void handle(Call call, long now, Consumer<Reply> onReply) {
        if (outage) {
            onReply.accept(SimulatedStore.reply(503, Json.object().put("error", "trouble")));
            return;
        }
        URI uri = URI.create(call.path());
        JsonNode body = call.body() == null ? null : Json.readOrNull(call.body());
        switch (uri.getPath()) {
            case "/machine_types" -> onReply.accept(SimulatedStore.reply(200, types()));
            case "/rentals/delete" -> {
                body.path("hosts").forEach(host -> {
                    if (machines.remove(host.asText()) != null) {
                        onRemoval.accept(host.asText());
                    }
                });
                addSnapshot(now);
                onReply.accept(SimulatedStore.reply(200, Json.object()));
            }
            case "/rentals" -> onReply.accept(body == null ? list(uri, now) : rent(body, now));
            default -> onReply.accept(SimulatedStore.reply(404, Json.object()));
        }
    }

    private Reply rent(JsonNode body, long now) {
        String request = body.path("hire").asText();
        List<String> ids = machinesByRequest.get(request);
        if (ids == null) {
            ids = new ArrayList<>();
            while (ids.size() < body.path("number").asInt() && machines.size() < capacity) {
                String id = Hosts.machine(nextMachine++);
                machines.put(
                        id,
                        new Machine(
                                body.path("host_type").asText(),
                                body.path("yard").asText(),
                                body.path("loaner").asBoolean(),
                                now,
                                false));
                ids.add(id);
            }
            if (ids.isEmpty()) {
                return SimulatedStore.reply(503, Json.object().put("error", "no capacity"));
            }
            machinesByRequest.put(request, ids);
            addSnapshot(now);
        }
        ObjectNode response = Json.object();
        ids.forEach(response.putArray("hosts")::add);
        return SimulatedStore.reply(200, response);
    }

    private void addSnapshot(long now) {
        history.add(new Snapshot(now, Map.copyOf(machines)));
    }

    private Reply list(URI uri, long now) {
        long asOf = now - lagMs;
        Map<String, Machine> listed = new TreeMap<>(history.stream()
                .filter(snapshot -> snapshot.time <= asOf)
                .reduce((first, second) -> second)
                .map(Snapshot::machines)
                .orElse(Map.of()));
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("hosts");
        Map<String, String> query = SimulatedStore.query(uri);
        String since = query.getOrDefault("since", "");
        int pageSize = Integer.parseInt(query.getOrDefault("most", DEFAULT_PAGE_SIZE));
        body.put(
                "more",
                listed.keySet().stream().filter(id -> id.compareTo(since) > 0).count() > pageSize);
        listed.forEach((id, machine) -> {
            if (id.compareTo(since) > 0 && list.size() < pageSize) {
                String phase = machine.failed ? "failed" : asOf - machine.rentedAt >= bootMs ? "running" : "booting";
                list.addObject()
                        .put("id", id)
                        .put("address", addresses.apply(id))
                        .put("host_type", machine.type)
                        .put("yard", machine.zone)
                        .put("loaner", machine.spot)
                        .put("phase", phase)
                        .put("held_s", (asOf - machine.rentedAt) / 1000.0);
            }
        });
        return SimulatedStore.reply(200, body);
    }

    /** The machine types, as the cloud API lists them. */
    private ObjectNode types() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("host_types");
        for (String name : offeredTypes) {
            boolean large = name.equals("large");
            ObjectNode type = list.addObject()
                    .put("name", name)
                    .put("cpus", large ? 16 : 8)
                    .put("gpus", 0)
                    .put("ram_gb", 64)
                    .put("cache_gb", 40)
                    .put("pull_gb_per_s", 1.0)
                    .put("hourly", large ? 1.9 : 1.0)
                    .put("spot_price", large ? 0.5 : 0.3)
                    .put("startup_s", 10);
            type.putArray("yards").add("a").add("b");
        }
        return body;
    }
}
