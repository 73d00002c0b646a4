package io.quartzgw.agent;

import io.quartzgw.leadership.LeaderTerm;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs the commands that are sent to agents, with the same fields for every channel. */
final class CommandLog {
    private static final Logger LOG = LoggerFactory.getLogger(CommandLog.class);

    private CommandLog() {}

    /** Logs the commands of a direct call. */
    static void sentDirectly(String machine, LeaderTerm term, CommandRequest request) {
        sent(machine, "direct", term, request.fence(), request.commands()).log("commands sent");
    }

    /** Logs the commands of the response to a heartbeat. */
    static void sentInResponse(Heartbeat heartbeat, LeaderTerm term, long token, List<AgentCommand> commands) {
        sent(heartbeat.machine(), "response", term, new CommandFence(token, heartbeat.epoch()), commands)
                .addKeyValue("sequence", heartbeat.sequence())
                .log("commands sent");
    }

    /** Logs a response that renews a lease while the term is not confirmed, with its commands, if any. */
    static void respondedUnconfirmed(Heartbeat heartbeat, LeaderTerm term, List<AgentCommand> commands) {
        LOG.atDebug()
                .addKeyValue("machine", heartbeat.machine())
                .addKeyValue("epoch", heartbeat.epoch())
                .addKeyValue("term", term.number())
                .addKeyValue("confirmed_until_ms", term.confirmedUntilMs())
                .addKeyValue("commands", commands)
                .log("unconfirmed leader responded");
    }

    private static LoggingEventBuilder sent(
            String machine, String channel, LeaderTerm term, CommandFence fence, List<AgentCommand> commands) {
        return LOG.atDebug()
                .addKeyValue("machine", machine)
                .addKeyValue("channel", channel)
                .addKeyValue("term", term.number())
                .addKeyValue("confirmed", term.isConfirmed())
                .addKeyValue("token", fence.token())
                .addKeyValue("epoch", fence.epoch())
                .addKeyValue("commands", commands);
    }
}
