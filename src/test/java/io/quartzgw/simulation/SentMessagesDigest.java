package io.quartzgw.simulation;

import io.quartzgw.eventloop.Effect;
import io.quartzgw.http.Call;
import io.quartzgw.http.Response;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of everything that the controllers of a simulation send: requests to each other, to agents, to the state
 * service and to the cloud, and responses, each with its time. Equal digests mean equal decisions.
 */
final class SentMessagesDigest {
    private static final int SUMMARY_HEX_CHARACTERS = 16;

    private final MessageDigest digest = sha256();
    private long messages;

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Adds what a controller sends at a time. */
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

    /** How many messages there were, and the beginning of their digest. */
    String summary() {
        try {
            MessageDigest soFar = (MessageDigest) digest.clone();
            return messages + " " + HexFormat.of().formatHex(soFar.digest()).substring(0, SUMMARY_HEX_CHARACTERS);
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("SHA-256 digests can be cloned", e);
        }
    }
}
