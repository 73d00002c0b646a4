package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.loop.CoalescedTask;
import io.quartzgw.loop.Kernel;
import io.quartzgw.store.RateBudget;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Talks to the cloud inside its request limit; calls wait in order for their turn. */
public final class CloudClient {
    static final int MAX_HIRE = 50;
    static final int MAX_DELETE = 100;
    private static final int PAGE = 500;
    private static final int TIMEOUT_MS = 5_000;
    /** Mostly the leader alone calls the cloud; the rest is for nodes that start. */
    private static final double USED = 0.8;

    private final Kernel kernel;
    private final Endpoint endpoint;
    private final RateBudget budget;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final CoalescedTask drain;

    private record Waiting(Call call, Consumer<Reply> then) {}

    /** A machine as the cloud lists it. */
    public record Listed(
            String id, String address, String type, String zone, boolean spot, String phase, double ageS) {}

    /** What a rental request brought. */
    public sealed interface Hired {
        /** The machines that were rented, possibly fewer than requested. */
        record Machines(List<String> ids) implements Hired {}

        /** The cloud has no machine of the requested type, zone and kind. */
        record NoCapacity() implements Hired {}

        /** No clear answer: the same request has to be repeated. */
        record Unclear() implements Hired {}
    }

    /** @param limits how many requests the cloud takes from this node */
    public CloudClient(Kernel kernel, Endpoint endpoint, CloudLimits limits) {
        this.kernel = kernel;
        this.drain = new CoalescedTask(kernel, this::drain);
        this.endpoint = endpoint;
        this.budget = new RateBudget(limits.requestsPerS() * USED, kernel.now());
    }

    /** The table as the cloud sends it, or null. */
    public void machineTypes(Consumer<JsonNode> then) {
        submit(
                Call.get(endpoint, "/machine_types", TIMEOUT_MS),
                reply -> then.accept(reply.ok() ? reply.json() : null));
    }

    /** Requests machines; a request name must never be used for a second, different request. */
    public void hire(String request, String type, String zone, boolean spot, int count, Consumer<Hired> then) {
        ObjectNode body = Json.object()
                .put("hire", request)
                .put("host_type", type)
                .put("yard", zone)
                .put("loaner", spot)
                .put("number", Math.min(count, MAX_HIRE));
        submit(Call.post(endpoint, "/rentals", body, TIMEOUT_MS), reply -> then.accept(hired(reply)));
    }

    private static Hired hired(Reply reply) {
        if (reply.ok()) {
            List<String> ids = new ArrayList<>();
            reply.json().path("hosts").forEach(id -> ids.add(id.asText()));
            return new Hired.Machines(ids);
        }
        boolean full =
                reply.status() == 503 && reply.json().path("error").asText().equals("no capacity");
        return full ? new Hired.NoCapacity() : new Hired.Unclear();
    }

    /** Says whether the machines are surely gone. */
    public void delete(Collection<String> ids, Consumer<Boolean> then) {
        ObjectNode body = Json.object();
        ArrayNode hosts = body.putArray("hosts");
        ids.stream().limit(MAX_DELETE).forEach(hosts::add);
        submit(Call.post(endpoint, "/rentals/delete", body, TIMEOUT_MS), reply -> then.accept(reply.ok()));
    }

    /** Every listed machine, or null when the list could not be read whole. */
    public void list(Consumer<List<Listed>> then) {
        page("", new ArrayList<>(), then);
    }

    private void page(String since, List<Listed> sofar, Consumer<List<Listed>> then) {
        String path = "/rentals?since=" + since + "&most=" + PAGE;
        submit(Call.get(endpoint, path, TIMEOUT_MS), reply -> {
            if (!reply.ok()) {
                then.accept(null);
                return;
            }
            reply.json()
                    .path("hosts")
                    .forEach(node -> sofar.add(new Listed(
                            node.path("id").asText(),
                            node.path("address").asText(),
                            node.path("host_type").asText(),
                            node.path("yard").asText(),
                            node.path("loaner").asBoolean(),
                            node.path("phase").asText(),
                            node.path("held_s").asDouble())));
            if (reply.json().path("more").asBoolean() && !sofar.isEmpty()) {
                page(sofar.get(sofar.size() - 1).id(), sofar, then);
            } else {
                then.accept(sofar);
            }
        });
    }

    /** Whether a call would go out at once. */
    public boolean idle() {
        return queue.isEmpty() && budget.waitFor(1, kernel.now()) == 0;
    }

    private void submit(Call call, Consumer<Reply> then) {
        queue.addLast(new Waiting(call, then));
        drain();
    }

    private void drain() {
        while (!queue.isEmpty()) {
            long wait = budget.waitFor(1, kernel.now());
            if (wait > 0) {
                drain.after(wait);
                return;
            }
            budget.take(1, kernel.now());
            kernel.count("cloud.calls", 1);
            Waiting next = queue.pollFirst();
            kernel.call(next.call, next.then);
        }
    }
}
