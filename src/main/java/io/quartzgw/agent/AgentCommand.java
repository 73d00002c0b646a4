package io.quartzgw.agent;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.scheduling.Allocation;
import java.util.List;

/** A command to a worker. */
public sealed interface AgentCommand {

    ObjectNode toJson();

    /** Starts an attempt; without effect where the worker knows the attempt. */
    record Start(Allocation booking) implements AgentCommand {
        @Override
        public ObjectNode toJson() {
            return named("run", Attempt.of(booking));
        }
    }

    /** Stops an attempt, giving it so many seconds to save. */
    record Stop(Attempt attempt, double graceS) implements AgentCommand {
        @Override
        public ObjectNode toJson() {
            return named("kill", attempt).put("wind_down_s", graceS);
        }
    }

    /** Removes an ended attempt from the reports. */
    record Remove(Attempt attempt) implements AgentCommand {
        @Override
        public ObjectNode toJson() {
            return named("reap", attempt);
        }
    }

    /** The attempts that some orders start. */
    static List<Attempt> starts(List<AgentCommand> orders) {
        return orders.stream()
                .filter(Start.class::isInstance)
                .map(order -> Attempt.of(((Start) order).booking()))
                .toList();
    }

    private static ObjectNode named(String verb, Attempt attempt) {
        return Json.object().put("verb", verb).put("shard", attempt.task()).put("try_no", attempt.number());
    }
}
