package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.CoalescedTask;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.store.TokenBucket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Client of the cloud that keeps to its request limit; calls beyond it wait in order. */
public final class CloudClient {
    static final int MAX_RENTAL = 50;
    static final int MAX_DELETE = 100;
    private static final int LIST_PAGE_SIZE = 500;
    private static final int TIMEOUT_MS = 5_000;
    /**
     * The fraction of the limit that one controller uses: mostly the leader alone, the rest is for those that start.
     */
    private static final double USED_FRACTION = 0.8;

    private final EventLoop eventLoop;
    private final Endpoint endpoint;
    private final TokenBucket budget;
    private final Deque<QueuedCall> queue = new ArrayDeque<>();
    private final CoalescedTask drain;

    private record QueuedCall(Call call, Consumer<Reply> callback) {}

    /** A machine as the cloud lists it. */
    public record ListedMachine(
            String id, String address, String type, String zone, boolean spot, String phase, double ageS) {}

    /** The result of a rental request. */
    public sealed interface RentalResult {
        /** The machines that were rented, possibly fewer than requested. */
        record Machines(List<String> ids) implements RentalResult {}

        /** The cloud has no machine of the requested type, zone and kind. */
        record NoCapacity() implements RentalResult {}

        /** No definite result: the same request has to be repeated. */
        record Unknown() implements RentalResult {}
    }

    /** @param limits the limits of the cloud, for all controllers together */
    public CloudClient(EventLoop eventLoop, Endpoint endpoint, CloudLimits limits) {
        this.eventLoop = eventLoop;
        this.drain = new CoalescedTask(eventLoop, this::drain);
        this.endpoint = endpoint;
        this.budget = new TokenBucket(limits.requestsPerS() * USED_FRACTION, eventLoop.nowMs());
    }

    /** The table as the cloud sends it, or null. */
    public void machineTypes(Consumer<JsonNode> then) {
        submit(
                Call.get(endpoint, "/machine_types", TIMEOUT_MS),
                reply -> then.accept(reply.ok() ? reply.json() : null));
    }

    /** Requests machines; a request name must never be used for a second, different request. */
    public void rent(String request, String type, String zone, boolean spot, int count, Consumer<RentalResult> then) {
        ObjectNode body = Json.object()
                .put("hire", request)
                .put("host_type", type)
                .put("yard", zone)
                .put("loaner", spot)
                .put("number", Math.min(count, MAX_RENTAL));
        submit(Call.post(endpoint, "/rentals", body, TIMEOUT_MS), reply -> then.accept(rentalResult(reply)));
    }

    private static RentalResult rentalResult(Reply reply) {
        if (reply.ok()) {
            List<String> ids = new ArrayList<>();
            reply.json().path("hosts").forEach(id -> ids.add(id.asText()));
            return new RentalResult.Machines(ids);
        }
        boolean noCapacity =
                reply.status() == 503 && reply.json().path("error").asText().equals("no capacity");
        return noCapacity ? new RentalResult.NoCapacity() : new RentalResult.Unknown();
    }

    /** Deletes machines; the callback learns whether they certainly no longer exist. */
    public void delete(Collection<String> ids, Consumer<Boolean> then) {
        ObjectNode body = Json.object();
        ArrayNode hosts = body.putArray("hosts");
        ids.stream().limit(MAX_DELETE).forEach(hosts::add);
        submit(Call.post(endpoint, "/rentals/delete", body, TIMEOUT_MS), reply -> then.accept(reply.ok()));
    }

    /** Every listed machine, or null when the list could not be read whole. */
    public void list(Consumer<List<ListedMachine>> then) {
        readPage("", new ArrayList<>(), then);
    }

    private void readPage(String afterId, List<ListedMachine> machines, Consumer<List<ListedMachine>> then) {
        String path = "/rentals?since=" + afterId + "&most=" + LIST_PAGE_SIZE;
        submit(Call.get(endpoint, path, TIMEOUT_MS), reply -> {
            if (!reply.ok()) {
                then.accept(null);
                return;
            }
            reply.json()
                    .path("hosts")
                    .forEach(node -> machines.add(new ListedMachine(
                            node.path("id").asText(),
                            node.path("address").asText(),
                            node.path("host_type").asText(),
                            node.path("yard").asText(),
                            node.path("loaner").asBoolean(),
                            node.path("phase").asText(),
                            node.path("held_s").asDouble())));
            if (reply.json().path("more").asBoolean() && !machines.isEmpty()) {
                readPage(machines.get(machines.size() - 1).id(), machines, then);
            } else {
                then.accept(machines);
            }
        });
    }

    /** Whether a call would be sent at once. */
    public boolean isIdle() {
        return queue.isEmpty() && budget.waitMsFor(1, eventLoop.nowMs()) == 0;
    }

    private void submit(Call call, Consumer<Reply> callback) {
        queue.addLast(new QueuedCall(call, callback));
        drain();
    }

    private void drain() {
        while (!queue.isEmpty()) {
            long waitMs = budget.waitMsFor(1, eventLoop.nowMs());
            if (waitMs > 0) {
                drain.schedule(waitMs);
                return;
            }
            budget.take(1, eventLoop.nowMs());
            eventLoop.increment("cloud.calls", 1);
            QueuedCall next = queue.pollFirst();
            eventLoop.call(next.call, next.callback);
        }
    }
}
