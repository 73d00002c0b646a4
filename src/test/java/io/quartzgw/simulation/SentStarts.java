package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.http.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Checks every start that a controller sends, in direct calls and in responses to heartbeats, at the moment when it
 * leaves: the controller's term is confirmed, and it does not know the job as cancelled.
 */
final class SentStarts {
    private static final String COMMANDS_PATH = "/orders";
    private static final String COMMANDS_FIELD = "orders";

    private final ProtocolInvariants invariants;

    SentStarts(ProtocolInvariants invariants) {
        this.invariants = invariants;
    }

    /**
     * Checks what a controller sends.
     *
     * @param confirmed whether the controller surely leads
     * @param isCancelled whether the controller knows a job as cancelled
     */
    void check(String controller, Effect effect, boolean confirmed, Predicate<String> isCancelled) {
        forEachStart(effect, task -> {
            if (!confirmed) {
                invariants.recordUnconfirmedStart(controller, task);
            }
            if (isCancelled.test(PlacementRules.jobOf(task))) {
                invariants.recordCancelledStart(controller, task);
            }
        });
    }

    private static void forEachStart(Effect effect, Consumer<String> action) {
        if (effect instanceof Effect.Send send && send.request().path().equals(COMMANDS_PATH)) {
            startedTasks(send.request().body()).forEach(action);
        } else if (effect instanceof Effect.Answer answer) {
            startedTasks(answer.response().body()).forEach(action);
        }
    }

    private static List<String> startedTasks(byte[] body) {
        List<String> tasks = new ArrayList<>();
        JsonNode message = Json.readOrNull(body);
        if (message != null) {
            for (JsonNode command : message.path(COMMANDS_FIELD)) {
                if (command.path("verb").asText().equals("run")) {
                    tasks.add(command.path("shard").asText());
                }
            }
        }
        return tasks;
    }
}
