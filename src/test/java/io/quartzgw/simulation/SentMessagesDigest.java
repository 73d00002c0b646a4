package io.quartzgw.simulation;

import io.quartzgw.eventloop.Effect;
import io.quartzgw.http.Call;
import io.quartzgw.http.Response;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of all messages that the controllers of a simulation send, each with its time: requests to each other, to
 * agents, to the state service and to the cloud, and responses. Runs with equal digests made the same decisions.
 */
final class SentMessagesDigest {
    private static final int SUMMARY_HEX_CHARACTERS = 16;

    private final MessageDigest digest = sha256();
    private long messages;

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform lacks SHA-256", e);
        }
    }

    /** Adds a message that a controller sends. */
    void add(long now, String from, Effect effect) {
        if (effect instanceof Effect.Answer answer) {
            Response response = answer.response();
            add(now + " " + from + " " + response.status(), response.body());
        } else if (effect instanceof Effect.Send send) {
            Call call = send.request();
            add(now + " " + from + " " + call.endpoint() + " " + call.method() + " " + call.path(), call.body());
        }
    }

    private void add(String head, byte[] body) {
        messages++;
        digest.update(head.getBytes(StandardCharsets.UTF_8));
        if (body != null) {
            digest.update(body);
        }
    }

    /** The number of messages and the first characters of their digest in hexadecimal. */
    String summary() {
        try {
            MessageDigest copy = (MessageDigest) digest.clone();
            return messages + " " + HexFormat.of().formatHex(copy.digest()).substring(0, SUMMARY_HEX_CHARACTERS);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the SHA-256 digest does not support cloning", e);
        }
    }
}
