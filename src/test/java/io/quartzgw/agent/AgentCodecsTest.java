package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.liveness.HeartbeatId;
import io.quartzgw.model.Attempt;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Tests the messages between leader and agents against literals of the protocol. */
class AgentCodecsTest {
    private static final Attempt ATTEMPT = new Attempt("j-1", 2, 7);
    private static final List<AgentCommand> COMMANDS = List.of(
            new AgentCommand.Remove(ATTEMPT), new AgentCommand.Stop(ATTEMPT, 1.5), new AgentCommand.Start(ATTEMPT));
    private static final String ENCODED_COMMANDS =
            """
            [{"verb":"reap","shard":"j-1/2","try_no":7},\
            {"verb":"kill","shard":"j-1/2","try_no":7,"wind_down_s":1.5},\
            {"verb":"run","shard":"j-1/2","try_no":7}]""";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void encodesCommandRequestInProtocolOrder() {
        assertEquals(
                "{\"baton\":4,\"tenure\":3,\"orders\":" + ENCODED_COMMANDS + "}",
                AgentCommandCodec.encode(new CommandRequest(new CommandFence(4, 3), COMMANDS))
                        .toString());
    }

    @Test
    void encodesTokenAfterCommandsInLeaseRenewingResponse() {
        assertEquals(
                "{\"orders\":" + ENCODED_COMMANDS + ",\"baton\":4}",
                HeartbeatResponseCodec.encode(HeartbeatResponse.renewingLease(COMMANDS, 4))
                        .toString());
    }

    @Test
    void encodesNoTokenInResponseToStaleHeartbeat() {
        assertEquals(
                "{\"orders\":[]}",
                HeartbeatResponseCodec.encode(HeartbeatResponse.ignored()).toString());
    }

    @Test
    void decodesHeartbeatWithTasks() {
        Heartbeat heartbeat = HeartbeatCodec.decode(
                        bytes(
                                """
                {"host":"i-1","address":"10.1.0.2:9000","host_type":"t","yard":"a","loaner":true,"tenure":3,"counter":9,
                "baton":4,"reclaim_in_s":30,"unknown":{"host":"i-2"},"shards":[{"shard":"j-1/2","try_no":7,
                "phase":"ended","exit_cause":"done"},{"shard":"j-1/x"},5,{"shard":"j-2/0","phase":"gathering"}]}"""))
                .orElseThrow();
        assertEquals(new Heartbeat.Source("i-1", Endpoint.parse("10.1.0.2:9000"), "t", "a", true), heartbeat.source());
        assertEquals(new HeartbeatId(3, 9), heartbeat.id());
        assertEquals(4, heartbeat.fencingToken());
        assertEquals(OptionalDouble.of(30), heartbeat.reclaimInSeconds());
        assertEquals(
                List.of(
                        new Heartbeat.TaskStatus(ATTEMPT, Heartbeat.TaskState.EXITED, Heartbeat.ExitCause.DONE),
                        new Heartbeat.TaskStatus(
                                new Attempt("j-2", 0, 0), Heartbeat.TaskState.FETCHING, Heartbeat.ExitCause.NONE)),
                heartbeat.tasks(),
                "items that are not valid are left out");
    }

    @Test
    void decodesInvalidHeartbeatAsEmpty() {
        for (String message : List.of("", "[]", "{\"host\":\"i-1\"", "{\"host\":\"i-1\",\"tenure\":1}")) {
            assertEquals(Optional.empty(), HeartbeatCodec.decode(bytes(message)), message);
        }
        assertTrue(HeartbeatCodec.decode(Json.write(Json.object())).isEmpty());
    }
}
