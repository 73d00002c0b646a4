package io.quartzgw.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.CoalescedTask;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Reply;
import io.quartzgw.model.MachineType;
import io.quartzgw.store.TokenBucket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Client of the cloud's API. It respects the request limit by queuing excess calls in order. */
public final class CloudClient {
    static final int MAX_MACHINES_PER_RENTAL = 50;
    static final int MAX_MACHINES_PER_DELETION = 100;
    private static final int LIST_PAGE_SIZE = 500;
    private static final int TIMEOUT_MS = 5_000;
    /**
     * The fraction of the request limit that one controller uses. Mostly only the leader sends requests; the rest is
     * for controllers that are starting.
     */
    private static final double BUDGET_FRACTION = 0.8;

    private final EventLoop eventLoop;
    private final Endpoint endpoint;
    private final TokenBucket budget;
    private final Deque<QueuedCall> queue = new ArrayDeque<>();
    private final CoalescedTask sendTask;

    private record QueuedCall(Call call, long validUntilMs, Consumer<Reply> callback) {}

    /**
     * A machine as the cloud lists it.
     *
     * @param phase the machine's state, as named by the cloud
     * @param ageS time since the machine was rented, in seconds
     */
    public record ListedMachine(
            String id, String address, String type, String zone, boolean spot, String phase, double ageS) {

        /** Whether the machine has stopped on its own. */
        boolean failed() {
            return phase.equals("failed");
        }
    }

    /** The result of a rental request. */
    public sealed interface RentalResult {
        /** The machines that were rented, possibly fewer than requested. */
        record Machines(List<String> ids) implements RentalResult {}

        /** The cloud has no capacity for the requested offer. */
        record NoCapacity() implements RentalResult {}

        /** No definite result; the same request must be sent again. */
        record Unknown() implements RentalResult {}
    }

    /** @param limits the limits that the cloud applies to all controllers together */
    public CloudClient(EventLoop eventLoop, Endpoint endpoint, CloudLimits limits) {
        this.eventLoop = eventLoop;
        this.sendTask = new CoalescedTask(eventLoop, this::sendQueued);
        this.endpoint = endpoint;
        this.budget = new TokenBucket(limits.requestsPerS() * BUDGET_FRACTION, eventLoop.nowMs());
    }

    /** Reads the machine types by name; the callback receives an empty map if the cloud did not respond. */
    public void machineTypes(Consumer<Map<String, MachineType>> callback) {
        submit(
                Call.get(endpoint, "/machine_types", TIMEOUT_MS),
                reply -> callback.accept(reply.ok() ? MachineTypeCodec.decodeTable(reply.json()) : Map.of()));
    }

    /** Requests machines. A request name must never be reused for a different request, since the cloud deduplicates. */
    void rent(String request, MachineOffer offer, int count, Consumer<RentalResult> callback) {
        ObjectNode body = CloudCodec.encodeRental(request, offer, Math.min(count, MAX_MACHINES_PER_RENTAL));
        submit(Call.post(endpoint, "/rentals", body, TIMEOUT_MS), reply -> callback.accept(rentalResult(reply)));
    }

    private static RentalResult rentalResult(Reply reply) {
        if (reply.ok()) {
            return new RentalResult.Machines(CloudCodec.decodeRentedIds(reply.json()));
        }
        boolean noCapacity = reply.status() == 503 && CloudCodec.isNoCapacity(reply.json());
        return noCapacity ? new RentalResult.NoCapacity() : new RentalResult.Unknown();
    }

    /**
     * Deletes at most {@link #MAX_MACHINES_PER_DELETION} machines; the callback receives whether they certainly no
     * longer exist.
     *
     * @param validUntilMs the time from which on the request is no longer sent
     */
    public void delete(Collection<String> ids, long validUntilMs, Consumer<Boolean> callback) {
        ObjectNode body = CloudCodec.encodeDeletion(ids);
        Call call = Call.post(endpoint, "/rentals/delete", body, TIMEOUT_MS);
        submit(new QueuedCall(call, validUntilMs, reply -> callback.accept(reply.ok())));
    }

    /** Reads the whole machine list; the callback receives an empty value if any of its pages could not be read. */
    public void list(Consumer<Optional<List<ListedMachine>>> callback) {
        readPage("", new ArrayList<>(), callback);
    }

    private void readPage(
            String afterId, List<ListedMachine> machines, Consumer<Optional<List<ListedMachine>>> callback) {
        String path = "/rentals?since=" + afterId + "&most=" + LIST_PAGE_SIZE;
        submit(Call.get(endpoint, path, TIMEOUT_MS), reply -> onPage(reply, machines, callback));
    }

    private void onPage(Reply reply, List<ListedMachine> machines, Consumer<Optional<List<ListedMachine>>> callback) {
        if (!reply.ok()) {
            callback.accept(Optional.empty());
            return;
        }
        CloudCodec.ListPage page = CloudCodec.decodeListPage(reply.json());
        machines.addAll(page.machines());
        if (page.more() && !machines.isEmpty()) {
            readPage(machines.get(machines.size() - 1).id(), machines, callback);
        } else {
            callback.accept(Optional.of(machines));
        }
    }

    /** Whether a call would be sent immediately. */
    public boolean canSendNow() {
        return queue.isEmpty() && budget.waitMsFor(1, eventLoop.nowMs()) == 0;
    }

    private void submit(Call call, Consumer<Reply> callback) {
        submit(new QueuedCall(call, Effect.ALWAYS_VALID, callback));
    }

    private void submit(QueuedCall call) {
        queue.addLast(call);
        sendQueued();
    }

    private void sendQueued() {
        while (!queue.isEmpty()) {
            long waitMs = budget.waitMsFor(1, eventLoop.nowMs());
            if (waitMs > 0) {
                sendTask.schedule(waitMs);
                return;
            }
            budget.take(1, eventLoop.nowMs());
            eventLoop.increment("cloud.calls", 1);
            QueuedCall next = queue.pollFirst();
            eventLoop.call(next.call, next.validUntilMs, next.callback);
        }
    }
}
