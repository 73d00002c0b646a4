package io.quartzgw.startlog;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.quartzgw.model.Attempt;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Encodes and decodes log records. A record's name is the attempt and its value is the machine's ID. */
final class StartRecordCodec {
    private static final Pattern NAME = Pattern.compile("(.+)/(\\d{1,9})/(\\d{1,19})");

    private StartRecordCodec() {}

    static String encodeName(Attempt start) {
        return start.task() + "/" + start.number();
    }

    static JsonNode encodeMachine(String machine) {
        return TextNode.valueOf(machine);
    }

    static Optional<Attempt> decodeName(String name) {
        Matcher matcher = NAME.matcher(name);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Attempt(
                    matcher.group(1), Integer.parseInt(matcher.group(2)), Long.parseLong(matcher.group(3))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    static Optional<String> decodeMachine(JsonNode value) {
        return Optional.of(value).filter(JsonNode::isTextual).map(JsonNode::asText);
    }

    /** Returns whether all records of a stored page can be decoded. */
    static boolean isReadable(JsonNode page) {
        return page.isObject()
                && page.properties().stream()
                        .allMatch(field -> decodeName(field.getKey()).isPresent()
                                && decodeMachine(field.getValue()).isPresent());
    }
}
