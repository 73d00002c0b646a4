package io.quartzgw.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.quartzgw.fleet.CloudLimits;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.SocketBudget;
import io.quartzgw.leadership.LeadershipTiming;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.TeamQuota;
import io.quartzgw.store.StoreLimits;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and validates the settings file; unknown fields are ignored. */
public final class SettingsReader {
    private static final int BYTES_PER_KB = 1024;
    /** Moving a job to its terminal state takes two writes in one transaction. */
    private static final int MIN_TRANSACTION_WRITES = 2;

    private static final String HEARTBEAT_FIELD = "facts.workers.report_s";
    private static final String LEASE_FIELD = "facts.workers.lease_s";
    private static final String CANCEL_FIELD = "facts.workers.cancel_s";

    private SettingsReader() {}

    /** Reads and validates a settings file. The exception names the first invalid field, if the file can be parsed. */
    public static Settings read(Path file) throws InvalidSettingsException {
        try {
            return read(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidSettingsException("can't read " + file + ": " + e.getMessage());
        }
    }

    static Settings read(String toml) throws InvalidSettingsException {
        JsonNode root = parse(toml);
        JsonNode facts = root.path("facts");
        if (!facts.isObject()) {
            throw new InvalidSettingsException("facts: missing");
        }
        String member = requiredText(root, "member", "member");
        Map<String, Endpoint> peers = peers(root, member);
        AgentTiming agentTiming = agentTiming(facts);
        return new Settings(
                member,
                requiredText(root, "site", "site"),
                endpoint(root, "client_listen", "client_listen"),
                endpoint(root, "peer_listen", "peer_listen"),
                peers,
                endpoint(root.path("external"), "cloud", "external.cloud"),
                endpoint(root.path("external"), "state", "external.state"),
                controllerCount(facts, peers),
                zones(facts),
                facts.path("time_bound_ms").asDouble(0),
                teams(facts),
                objectives(facts),
                agentTiming,
                positiveNumber(facts, CANCEL_FIELD),
                storeLimits(facts),
                cloudLimits(facts),
                (int) numberAtLeast(facts, "facts.limits.sockets", SocketBudget.minimumSockets(peers.size())));
    }

    private static JsonNode parse(String toml) throws InvalidSettingsException {
        try {
            return new TomlMapper().readTree(toml);
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException("not TOML: " + e.getOriginalMessage());
        }
    }

    private static AgentTiming agentTiming(JsonNode facts) throws InvalidSettingsException {
        double heartbeatS = positiveNumber(facts, HEARTBEAT_FIELD);
        double leaseS = positiveNumber(facts, LEASE_FIELD);
        double cancelS = positiveNumber(facts, CANCEL_FIELD);
        if (leaseS <= heartbeatS) {
            throw new InvalidSettingsException(LEASE_FIELD + ": must be longer than report_s");
        }
        if (cancelS <= leaseS) {
            throw new InvalidSettingsException(CANCEL_FIELD + ": must be longer than lease_s");
        }
        if (LeadershipTiming.graceSeconds(heartbeatS, leaseS, cancelS) < heartbeatS / 2) {
            throw new InvalidSettingsException(CANCEL_FIELD + ": must exceed lease_s by at least 2.5 times report_s");
        }
        return new AgentTiming(millis(heartbeatS), millis(leaseS), millis(cancelS));
    }

    private static StoreLimits storeLimits(JsonNode facts) throws InvalidSettingsException {
        return new StoreLimits(
                positiveNumber(facts, "facts.state.rps"),
                positiveNumber(facts, "facts.state.write_rps"),
                (int) (positiveNumber(facts, "facts.state.value_kb") * BYTES_PER_KB),
                (int) numberAtLeast(facts, "facts.state.txn_ops", MIN_TRANSACTION_WRITES));
    }

    private static CloudLimits cloudLimits(JsonNode facts) throws InvalidSettingsException {
        return new CloudLimits(
                positiveNumber(facts, "facts.cloud.rps"), millis(numberAtLeast(facts, "facts.cloud.list_lag_s", 0)));
    }

    private static long millis(double seconds) {
        return Math.round(seconds * 1000);
    }

    private static Map<String, Endpoint> peers(JsonNode root, String member) throws InvalidSettingsException {
        Map<String, Endpoint> peers = new LinkedHashMap<>();
        for (JsonNode node : root.path("known")) {
            String name = requiredText(node, "member", "known.member");
            if (!name.equals(member)) {
                peers.put(name, endpoint(node, "endpoint", "known.endpoint"));
            }
        }
        return peers;
    }

    private static int controllerCount(JsonNode facts, Map<String, Endpoint> peers) throws InvalidSettingsException {
        JsonNode size = facts.path("size");
        if (size.isMissingNode()) {
            return peers.size() + 1;
        }
        if (!size.isInt() || size.asInt() < 1) {
            throw new InvalidSettingsException("facts.size: must be a whole number of at least 1");
        }
        return size.asInt();
    }

    private static List<String> zones(JsonNode facts) throws InvalidSettingsException {
        List<String> zones = new ArrayList<>();
        for (JsonNode zone : facts.path("zones")) {
            zones.add(zone.asText());
        }
        if (zones.isEmpty()) {
            throw new InvalidSettingsException("facts.zones: must list at least one zone");
        }
        return zones;
    }

    private static Map<String, TeamQuota> teams(JsonNode facts) throws InvalidSettingsException {
        Map<String, TeamQuota> teams = new LinkedHashMap<>();
        for (JsonNode node : facts.path("teams")) {
            String name = requiredText(node, "name", "facts.teams.name");
            TeamQuota team = new TeamQuota(
                    name,
                    optionalAmount(node, "cpus"),
                    optionalAmount(node, "cpus_max"),
                    optionalAmount(node, "gpus"),
                    optionalAmount(node, "gpus_max"));
            teams.put(name, team);
        }
        if (teams.isEmpty()) {
            throw new InvalidSettingsException("facts.teams: must list at least one team");
        }
        return teams;
    }

    private static double optionalAmount(JsonNode team, String field) throws InvalidSettingsException {
        JsonNode value = team.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
            throw new InvalidSettingsException("facts.teams." + field + ": must be a number of at least 0");
        }
        return value.doubleValue();
    }

    private static List<Settings.Objective> objectives(JsonNode facts) {
        List<Settings.Objective> objectives = new ArrayList<>();
        facts.path("objectives")
                .forEach(node -> objectives.add(new Settings.Objective(
                        node.path("kind").asText(),
                        node.path("class").asText(),
                        node.path("within_s").asDouble(),
                        node.path("times").asDouble(1),
                        node.path("share").asDouble())));
        return objectives;
    }

    private static String requiredText(JsonNode node, String field, String fullName) throws InvalidSettingsException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new InvalidSettingsException(fullName + ": missing");
        }
        return value.textValue();
    }

    private static Endpoint endpoint(JsonNode node, String field, String fullName) throws InvalidSettingsException {
        try {
            return Endpoint.parse(requiredText(node, field, fullName));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(fullName + ": " + e.getMessage());
        }
    }

    private static double positiveNumber(JsonNode facts, String fullName) throws InvalidSettingsException {
        double value = numberAtLeast(facts, fullName, 0);
        if (value == 0) {
            throw new InvalidSettingsException(fullName + ": must be greater than 0");
        }
        return value;
    }

    /** @param fullName the field's name, of the form {@code facts.table.field} */
    private static double numberAtLeast(JsonNode facts, String fullName, double minimum)
            throws InvalidSettingsException {
        JsonNode value = facts.at(fullName.substring("facts".length()).replace('.', '/'));
        if (value.isMissingNode()) {
            throw new InvalidSettingsException(fullName + ": missing");
        }
        if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < minimum) {
            throw new InvalidSettingsException(
                    fullName + ": must be a number of at least " + (minimum > 0 ? (int) minimum : 0));
        }
        return value.doubleValue();
    }
}
