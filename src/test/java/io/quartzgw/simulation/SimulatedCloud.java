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

/** The cloud as its protocol page describes it, with a machine list that lags; time is handed in. */
public final class SimulatedCloud {
    private final long lagMs;
    private long setBootMs;
    private final int capacity;
    private final TreeMap<String, Rented> machines = new TreeMap<>();
    private final Map<String, List<String>> answered = new HashMap<>();
    private final List<Snapshot> history = new ArrayList<>();
    private final Function<String, String> addresses;
    private BootListener onBoot = (id, type, zone, spot) -> {};
    private Consumer<String> onRemoval = id -> {};

    /** Is called when a machine is up. */
    public interface BootListener {
        void booted(String id, String type, String zone, boolean spot);
    }

    private record Rented(String type, String zone, boolean spot, long since, boolean failed) {}

    private record Snapshot(long at, Map<String, Rented> machines) {}

    private final Set<String> up = new HashSet<>();

    /**
     * @param lagMs by how much the machine list is late
     * @param setBootMs how long a machine boots
     * @param capacity how many machines there are in all
     */
    public SimulatedCloud(long lagMs, long bootMs, int capacity, Function<String, String> addresses) {
        this.addresses = addresses;
        this.lagMs = lagMs;
        this.setBootMs = bootMs;
        this.capacity = capacity;
    }

    /** Sets what is called when a machine is up, and what is called with the name of one that is gone. */
    public void onMachineChange(BootListener boot, Consumer<String> removal) {
        this.onBoot = boot;
        this.onRemoval = removal;
    }

    /** A machine stops on its own. */
    public void fail(String id, long now) {
        Rented machine = machines.get(id);
        if (machine != null) {
            machines.put(id, new Rented(machine.type, machine.zone, machine.spot, machine.since, true));
            onRemoval.accept(id);
            note(now);
        }
    }

    /** The cloud takes a machine back: it is gone, and in no list any more. */
    public void reclaim(String id, long now) {
        if (machines.remove(id) != null) {
            onRemoval.accept(id);
            note(now);
        }
    }

    /** Sets how long machines boot from now on. */
    public void setBootMs(long ms) {
        setBootMs = ms;
    }

    /** The machines that are up. */
    public List<String> running() {
        return machines.keySet().stream()
                .filter(id -> up.contains(id) && !machines.get(id).failed)
                .toList();
    }

    /** Lets time pass up to a moment. */
    public void advanceTo(long now) {
        machines.forEach((id, machine) -> {
            if (!machine.failed && now - machine.since >= setBootMs && up.add(id)) {
                onBoot.booted(id, machine.type, machine.zone, machine.spot);
            }
        });
    }

    /** Answers a call of the cloud API. */
    public void handle(Call call, long now, Consumer<Reply> then) {
        URI uri = URI.create(call.path());
        JsonNode body = call.body() == null ? null : Json.readOrNull(call.body());
        switch (uri.getPath()) {
            case "/machine_types" -> then.accept(SimulatedStore.reply(200, types()));
            case "/rentals/delete" -> {
                body.path("hosts").forEach(host -> {
                    if (machines.remove(host.asText()) != null) {
                        onRemoval.accept(host.asText());
                    }
                });
                note(now);
                then.accept(SimulatedStore.reply(200, Json.object()));
            }
            case "/rentals" -> then.accept(body == null ? list(uri, now) : rent(body, now));
            default -> then.accept(SimulatedStore.reply(404, Json.object()));
        }
    }

    private Reply rent(JsonNode body, long now) {
        String request = body.path("hire").asText();
        List<String> ids = answered.get(request);
        if (ids == null) {
            ids = new ArrayList<>();
            while (ids.size() < body.path("number").asInt() && machines.size() < capacity) {
                String id = String.format("i-%06d", nextId++);
                machines.put(
                        id,
                        new Rented(
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
            answered.put(request, ids);
            note(now);
        }
        ObjectNode answer = Json.object();
        ids.forEach(answer.putArray("hosts")::add);
        return SimulatedStore.reply(200, answer);
    }

    private int nextId;

    private void note(long now) {
        history.add(new Snapshot(now, Map.copyOf(machines)));
    }

    private Reply list(URI uri, long now) {
        long asOf = now - lagMs;
        Map<String, Rented> seen = new TreeMap<>(history.stream()
                .filter(snapshot -> snapshot.at <= asOf)
                .reduce((first, second) -> second)
                .map(Snapshot::machines)
                .orElse(Map.of()));
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("hosts");
        Map<String, String> query = SimulatedStore.query(uri);
        String since = query.getOrDefault("since", "");
        int most = Integer.parseInt(query.getOrDefault("most", "500"));
        body.put(
                "more",
                seen.keySet().stream().filter(id -> id.compareTo(since) > 0).count() > most);
        seen.forEach((id, machine) -> {
            if (id.compareTo(since) > 0 && list.size() < most) {
                String phase = machine.failed ? "failed" : asOf - machine.since >= setBootMs ? "running" : "booting";
                list.addObject()
                        .put("id", id)
                        .put("address", addresses.apply(id))
                        .put("host_type", machine.type)
                        .put("yard", machine.zone)
                        .put("loaner", machine.spot)
                        .put("phase", phase)
                        .put("held_s", (asOf - machine.since) / 1000.0);
            }
        });
        return SimulatedStore.reply(200, body);
    }

    static ObjectNode types() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("host_types");
        for (String name : List.of("small", "large")) {
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
