package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.http.Json;
import io.quartzgw.leadership.FencingTokens;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Checks what only a confirmed leader may send, at the moment when it leaves. Of deletions of machines, and of every
 * start in a direct call or in the response to a heartbeat: the controller's term is confirmed. Of a start also: the
 * controller's term is confirmed, it does not know the job as cancelled, and no controller with a higher token has sent
 * a start before: two leaders never act at once.
 */
final class LeaderActionChecks {
    private static final String DIRECT_CALL_PATH = "/orders";
    private static final String DELETION_PATH = "/rentals/delete";
    private static final String COMMANDS_FIELD = "orders";

    private final ProtocolInvariants invariants;
    private long highestTermIndex;

    LeaderActionChecks(ProtocolInvariants invariants) {
        this.invariants = invariants;
    }

    /**
     * Checks what a controller sends.
     *
     * @param confirmed whether the controller surely leads
     * @param isCancelled whether the controller knows a job as cancelled
     */
    void check(String controller, Effect effect, boolean confirmed, Predicate<String> isCancelled) {
        if (!confirmed && isDeletion(effect)) {
            invariants.recordUnconfirmedDeletion(controller);
        }
        JsonNode message = messageWithCommands(effect);
        for (String task : tasksToStart(message)) {
            if (!confirmed) {
                invariants.recordUnconfirmedStart(controller, task);
            }
            if (isCancelled.test(PlacementRules.jobOf(task))) {
                invariants.recordCancelledStart(controller, task);
            }
            // All terms of a simulation have full ranges of tokens, one after the other.
            long termIndex = (message.path("baton").asLong() - 1) / FencingTokens.PER_TERM;
            if (termIndex < highestTermIndex) {
                invariants.recordSupersededStart(controller, task);
            }
            highestTermIndex = Math.max(highestTermIndex, termIndex);
        }
    }

    private static boolean isDeletion(Effect effect) {
        return effect instanceof Effect.Send send && send.request().path().equals(DELETION_PATH);
    }

    /** The message with commands that an effect sends, or a missing node if it sends none. */
    private static JsonNode messageWithCommands(Effect effect) {
        JsonNode message = null;
        if (effect instanceof Effect.Send send && send.request().path().equals(DIRECT_CALL_PATH)) {
            message = Json.readOrNull(send.request().body());
        } else if (effect instanceof Effect.Answer answer) {
            message = Json.readOrNull(answer.response().body());
        }
        return message == null ? MissingNode.getInstance() : message;
    }

    private static List<String> tasksToStart(JsonNode message) {
        List<String> tasks = new ArrayList<>();
        for (JsonNode command : message.path(COMMANDS_FIELD)) {
            if (command.path("verb").asText().equals("run")) {
                tasks.add(command.path("shard").asText());
            }
        }
        return tasks;
    }
}
