import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page: rents machines, lists them late, deletes them. */
final class Cloud {
    /** A machine type, and the machines of it that each zone has. */
    record Type(
            String name, double cpus, double ramGb, double hourly, double startupS, double pullGbPerS, Map<String, Integer> zones) {}

    final String address;
    private final double lagS;
    private final double bootS;
    private final List<Type> types;
    private final Workers workers;
    private final StateService.Budget requests;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> rentals = new HashMap<>();
    private final List<Snapshot> history = new ArrayList<>();
    private int lastMachine = 100;

    private record Machine(Type type, String zone, double rentedAt, Worker worker) {}

    private record Snapshot(double at, TreeMap<String, Machine> machines) {}

    /** @param bootS how long every machine takes to come up */
    Cloud(double rps, double lagS, double bootS, List<Type> types, Workers workers) throws Exception {
        this.lagS = lagS;
        this.bootS = bootS;
        this.types = types;
        this.workers = workers;
        this.requests = new StateService.Budget(rps, 2);
        this.history.add(new Snapshot(-1000, new TreeMap<>()));
        this.address = Lab.serve(this::handle);
    }

    /** Adds a machine that is up from the start and has been listed for long. */
    synchronized void addRunning(Type type, String zone) throws Exception {
        String id = String.format("i-%06d", ++lastMachine);
        Worker worker = workers.create(id, type, zone);
        machines.put(id, new Machine(type, zone, -600, worker));
        history.add(new Snapshot(-500, new TreeMap<>(machines)));
        worker.startAfter(0);
    }

    private Lab.Reply handle(Lab.Request request) throws Exception {
        if (!requests.take(1)) {
            return Lab.reply(429, Lab.object().put("error", "too many requests"));
        }
        synchronized (this) {
            return switch (request.path()) {
                case "/machine_types" -> Lab.reply(200, typeTable());
                case "/rentals/delete" -> delete(request.json());
                case "/rentals" -> request.method().equals("POST") ? rent(request.json()) : list(request.query());
                default -> Lab.reply(404, Lab.object());
            };
        }
    }

    private ObjectNode typeTable() {
        ObjectNode body = Lab.object();
        ArrayNode list = body.putArray("host_types");
        for (Type type : types) {
            ObjectNode node = list.addObject()
                    .put("name", type.name())
                    .put("cpus", type.cpus())
                    .put("gpus", 0)
                    .put("ram_gb", type.ramGb())
                    .put("cache_gb", 70.0)
                    .put("pull_gb_per_s", type.pullGbPerS())
                    .put("hourly", type.hourly())
                    .put("spot_price", type.hourly() / 4)
                    .put("startup_s", type.startupS());
            type.zones().keySet().forEach(node.putArray("yards")::add);
        }
        return body;
    }

    private Lab.Reply rent(JsonNode body) throws Exception {
        String hire = body.path("hire").asText();
        List<String> ids = rentals.get(hire);
        if (ids == null) {
            ids = new ArrayList<>();
            Type type = types.stream()
                    .filter(each -> each.name().equals(body.path("host_type").asText()))
                    .findFirst()
                    .orElseThrow();
            String zone = body.path("yard").asText();
            // No spot machines are for rent here.
            while (!body.path("loaner").asBoolean()
                    && ids.size() < Math.min(50, body.path("number").asInt())
                    && machinesOf(type, zone) < type.zones().getOrDefault(zone, 0)) {
                String id = String.format("i-%06d", ++lastMachine);
                Worker worker = workers.create(id, type, zone);
                machines.put(id, new Machine(type, zone, Lab.now(), worker));
                worker.startAfter(bootS);
                ids.add(id);
            }
            if (ids.isEmpty()) {
                return Lab.reply(503, Lab.object().put("error", "no capacity"));
            }
            rentals.put(hire, ids);
            history.add(new Snapshot(Lab.now(), new TreeMap<>(machines)));
            Lab.note("cloud: rented %s as %s: %s in %s", ids, hire, type.name(), zone);
        }
        ObjectNode reply = Lab.object();
        ids.forEach(reply.putArray("hosts")::add);
        return Lab.reply(200, reply);
    }

    private long machinesOf(Type type, String zone) {
        return machines.values().stream()
                .filter(machine -> machine.type() == type && machine.zone().equals(zone))
                .count();
    }

    private Lab.Reply delete(JsonNode body) {
        for (JsonNode id : body.path("hosts")) {
            Machine machine = machines.remove(id.asText());
            if (machine != null) {
                machine.worker().end();
                Lab.note("cloud: deleted %s", id.asText());
            }
        }
        history.add(new Snapshot(Lab.now(), new TreeMap<>(machines)));
        return Lab.reply(200, Lab.object());
    }

    private Lab.Reply list(Map<String, String> query) {
        double asOf = Lab.now() - lagS;
        Snapshot shown = history.get(0);
        for (Snapshot snapshot : history) {
            if (snapshot.at() <= asOf) {
                shown = snapshot;
            }
        }
        String since = query.getOrDefault("since", "");
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
        ObjectNode body = Lab.object();
        ArrayNode hosts = body.putArray("hosts");
        boolean more = false;
        for (Map.Entry<String, Machine> entry : shown.machines().tailMap(since, false).entrySet()) {
            if (hosts.size() == most) {
                more = true;
                break;
            }
            Machine machine = entry.getValue();
            hosts.addObject()
                    .put("id", entry.getKey())
                    .put("address", machine.worker().address)
                    .put("host_type", machine.type().name())
                    .put("yard", machine.zone())
                    .put("loaner", false)
                    .put("phase", asOf - machine.rentedAt() >= bootS ? "running" : "booting")
                    .put("held_s", Math.max(0, asOf - machine.rentedAt()));
        }
        return Lab.reply(200, body.put("more", more));
    }
}
