package io.quartzgw.agent;

import io.quartzgw.http.Reply;
import java.util.Locale;

/** What is known of a direct call that has ended. */
enum CallOutcome {
    /** The agent has executed the commands. */
    EXECUTED,
    /** The agent has executed no command: the token is too low, or the epoch is not the agent's. */
    REJECTED,
    /** No connection was opened, so the commands are never executed. */
    NOT_SENT,
    /** There was no usable response: the commands may have been executed or may be executed later. */
    UNKNOWN;

    private static final int STATUS_EXECUTED = 200;
    private static final int STATUS_REJECTED = 409;

    static CallOutcome of(Reply reply) {
        if (!reply.sent()) {
            return NOT_SENT;
        }
        return switch (reply.status()) {
            case STATUS_EXECUTED -> EXECUTED;
            case STATUS_REJECTED -> REJECTED;
            default -> UNKNOWN;
        };
    }

    /** Returns whether the agent has responded with a heartbeat. */
    boolean isAnswered() {
        return this == EXECUTED || this == REJECTED;
    }

    /** Returns the name in log events. */
    String logName() {
        return this == NOT_SENT ? "unsent" : name().toLowerCase(Locale.ROOT);
    }
}
