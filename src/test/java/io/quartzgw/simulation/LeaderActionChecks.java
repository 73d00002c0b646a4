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
 * Checks, when a message is sent, the actions that only a confirmed leader may take. The sender of a machine deletion
 * or of a start, in a direct call or in a heartbeat response, must be confirmed. The sender of a start must also have
 * no cancellation of the job recorded, and no controller with a higher term may have sent a start before: two leaders
 * never act at the same time.
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
     * Checks a message that a controller sends.
     *
     * @param confirmed whether the controller's lease is known to be valid
     * @param isCancelled whether the controller has recorded the cancellation of the job with a given ID
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
            // In a simulation each term has a full range of tokens, and the ranges are contiguous: the quotient
            // identifies the term of a token.
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

    /** The body of a direct call or of a response, which may contain commands; a missing node for other effects. */
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
