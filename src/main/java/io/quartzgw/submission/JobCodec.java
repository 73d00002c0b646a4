package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.model.JobShape;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.Priority;
import io.quartzgw.model.Resources;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** JSON encoding of job specifications with the protocol's field names; decoding checks every field. */
public final class JobCodec {
    private static final Pattern JOB_ID = Pattern.compile("j-[0-9]{1,32}");
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_TEXT_LENGTH = 200;
    private static final int MAX_MACHINE_TYPES = 64;
    private static final Map<String, JobShape> SHAPES =
            Map.of("array", JobShape.ARRAY, "gang", JobShape.GANG, "daemon", JobShape.SERVICE);
    private static final Map<String, Priority> PRIORITIES = Map.of(
            "critical", Priority.PRODUCTION, "urgent", Priority.HIGH, "standard", Priority.NORMAL, "low", Priority.LOW);

    private JobCodec() {}

    /** Whether a text is a valid job ID; false for null. */
    public static boolean isValidJobId(String id) {
        return id != null && JOB_ID.matcher(id).matches();
    }

    /**
     * Decodes and checks a submission.
     *
     * @throws InvalidJobException if a field is missing or malformed
     */
    public static JobSpec decode(JsonNode node) throws InvalidJobException {
        String id = requiredText(node, "id");
        if (!isValidJobId(id)) {
            throw new InvalidJobException("id: not a job id");
        }
        JobShape shape = enumValue(node, "shape", SHAPES);
        JsonNode tasks = node.path("shards");
        if (!tasks.isIntegralNumber() || !tasks.canConvertToInt() || tasks.asInt() < 1 || tasks.asInt() > MAX_TASKS) {
            throw new InvalidJobException("shards: a whole number from 1 to " + MAX_TASKS);
        }
        Resources demand = new Resources(
                nonNegativeNumber(node, "cpus"), nonNegativeNumber(node, "gpus"), nonNegativeNumber(node, "ram_gb"));
        if (demand.equals(Resources.NONE)) {
            throw new InvalidJobException("cpus: a task has to take something of its machine");
        }
        Double deadline = node.hasNonNull("due_by_s") ? (Double) nonNegativeNumber(node, "due_by_s") : null;
        return new JobSpec(
                id,
                requiredText(node, "workload"),
                requiredText(node, "crew"),
                shape,
                enumValue(node, "urgency", PRIORITIES),
                tasks.asInt(),
                demand,
                requiredText(node, "bundle"),
                nonNegativeNumber(node, "pull_gb"),
                optionalMachineTypes(node),
                node.hasNonNull("yard") ? requiredText(node, "yard") : null,
                requiredBoolean(node, "together"),
                requiredBoolean(node, "scatter"),
                requiredBoolean(node, "loaner"),
                nonNegativeNumber(node, "runtime_guess_s"),
                nonNegativeNumber(node, "snapshot_every_s"),
                nonNegativeNumber(node, "snapshot_cost_s"),
                deadline);
    }

    /** Encodes a job specification. */
    public static ObjectNode encode(JobSpec job) {
        ObjectNode node = Json.object()
                .put("id", job.id())
                .put("workload", job.jobClass())
                .put("crew", job.team())
                .put("shape", wireName(SHAPES, job.shape()))
                .put("urgency", wireName(PRIORITIES, job.priority()))
                .put("shards", job.tasks())
                .put("cpus", job.demand().cpus())
                .put("gpus", job.demand().gpus())
                .put("ram_gb", job.demand().memoryGb())
                .put("bundle", job.image())
                .put("pull_gb", job.imageGb());
        if (job.machineTypes() != null) {
            ArrayNode types = node.putArray("host_types");
            job.machineTypes().forEach(types::add);
        }
        if (job.zone() != null) {
            node.put("yard", job.zone());
        }
        node.put("together", job.singleZone())
                .put("scatter", job.spread())
                .put("loaner", job.spotAllowed())
                .put("runtime_guess_s", job.estimateS())
                .put("snapshot_every_s", job.checkpointIntervalS())
                .put("snapshot_cost_s", job.checkpointGraceS());
        if (job.deadlineS() != null) {
            node.put("due_by_s", job.deadlineS());
        }
        return node;
    }

    private static String requiredText(JsonNode node, String field) throws InvalidJobException {
        JsonNode value = node.path(field);
        if (!value.isTextual()
                || value.textValue().isEmpty()
                || value.textValue().length() > MAX_TEXT_LENGTH) {
            throw new InvalidJobException(field + ": a text of 1 to " + MAX_TEXT_LENGTH + " characters");
        }
        return value.textValue();
    }

    private static double nonNegativeNumber(JsonNode node, String field) throws InvalidJobException {
        JsonNode value = node.path(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
            throw new InvalidJobException(field + ": a number, 0 or more");
        }
        return value.doubleValue();
    }

    private static boolean requiredBoolean(JsonNode node, String field) throws InvalidJobException {
        JsonNode value = node.path(field);
        if (value.isMissingNode() || value.isNull()) {
            throw new InvalidJobException(field + ": missing");
        }
        if (!value.isBoolean()) {
            throw new InvalidJobException(field + ": true or false");
        }
        return value.booleanValue();
    }

    private static <T> T enumValue(JsonNode node, String field, Map<String, T> choices) throws InvalidJobException {
        T value = choices.get(requiredText(node, field));
        if (value == null) {
            throw new InvalidJobException(field + ": unknown");
        }
        return value;
    }

    private static <T> String wireName(Map<String, T> choices, T value) {
        return choices.entrySet().stream()
                .filter(entry -> entry.getValue().equals(value))
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static Set<String> optionalMachineTypes(JsonNode node) throws InvalidJobException {
        if (!node.hasNonNull("host_types")) {
            return null;
        }
        JsonNode array = node.get("host_types");
        if (!array.isArray() || array.size() > MAX_MACHINE_TYPES) {
            throw new InvalidJobException("host_types: a list of names, or null");
        }
        Set<String> types = new LinkedHashSet<>();
        for (JsonNode item : array) {
            if (!item.isTextual() || item.textValue().length() > MAX_TEXT_LENGTH) {
                throw new InvalidJobException("host_types: a list of names, or null");
            }
            types.add(item.textValue());
        }
        return types;
    }
}
