package io.quartzgw.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.placement.Booking;

/** A command to a worker. */
public sealed interface Order {

    ObjectNode toJson();

    /** Starts an attempt; without effect where the worker knows the attempt. */
    record Run(Booking booking) implements Order {
        @Override
        public ObjectNode toJson() {
            return named("run", booking.task(), booking.attempt());
        }
    }

    /** Stops an attempt, giving it so many seconds to save. */
    record Kill(String task, long attempt, double graceS) implements Order {
        @Override
        public ObjectNode toJson() {
            return named("kill", task, attempt).put("wind_down_s", graceS);
        }
    }

    /** Removes an ended attempt from the reports. */
    record Reap(String task, long attempt) implements Order {
        @Override
        public ObjectNode toJson() {
            return named("reap", task, attempt);
        }
    }

    private static ObjectNode named(String verb, String task, long attempt) {
        return Json.object().put("verb", verb).put("shard", task).put("try_no", attempt);
    }
}
