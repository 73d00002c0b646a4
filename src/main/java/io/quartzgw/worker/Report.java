package io.quartzgw.worker;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of its machine. */
public record Report(String machine, String address, String machineType, String zone, boolean spot, long tenure,
        long counter, long token, Double reclaimInS, List<TaskReport> tasks) {

    /** What the worker says of one attempt. */
    public record TaskReport(Attempt attempt, State state, Cause cause) {}

    public enum State {
        FETCHING,
        RUNNING,
        SAVING,
        ENDED
    }

    /** Why an attempt ended. */
    public enum Cause {
        DONE,
        STOPPED,
        ERROR,
        /** Its gang did not come together, or fell apart. */
        GANG,
        /** It was refused: the machine had no room, another attempt, or no such job. */
        REFUSED,
        NONE
    }

    /** The report, or null when the message is none. */
    static Report read(JsonNode node) {
        if (node == null || !node.path("host").isTextual() || !node.path("tenure").isIntegralNumber()
                || !node.path("counter").isIntegralNumber()) {
            return null;
        }
        List<TaskReport> tasks = new ArrayList<>();
        for (JsonNode item : node.path("shards")) {
            TaskReport task = task(item);
            if (task != null) {
                tasks.add(task);
            }
        }
        JsonNode reclaim = node.path("reclaim_in_s");
        return new Report(node.path("host").asText(), node.path("address").asText(),
                node.path("host_type").asText(), node.path("yard").asText(), node.path("loaner").asBoolean(),
                node.path("tenure").asLong(), node.path("counter").asLong(), node.path("baton").asLong(),
                reclaim.isNumber() ? (Double) reclaim.doubleValue() : null, tasks);
    }

    private static TaskReport task(JsonNode item) {
        String name = item.path("shard").asText();
        int slash = name.lastIndexOf('/');
        if (slash <= 0) {
            return null;
        }
        int index;
        try {
            index = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            return null;
        }
        State state = switch (item.path("phase").asText()) {
            // A gang's task that waits for the others does not run yet.
            case "fetching", "gathering" -> State.FETCHING;
            case "flushing" -> State.SAVING;
            case "ended" -> State.ENDED;
            default -> State.RUNNING;
        };
        Cause cause = switch (item.path("exit_cause").asText()) {
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "error" -> Cause.ERROR;
            case "peers", "alone" -> Cause.GANG;
            case "no_room", "busy", "unknown" -> Cause.REFUSED;
            default -> Cause.NONE;
        };
        return new TaskReport(new Attempt(name.substring(0, slash), index, item.path("try_no").asLong()), state, cause);
    }
}
