package io.quartzgw.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Json;

/** Encodes and decodes the values of the election keys. Names and order of the fields are part of the stored format. */
final class LeaderRecordCodec {
    private static final String MEMBER = "member";
    private static final String PROCESS = "process";
    private static final String TERM = "term";
    private static final String LEASE = "hold";

    private LeaderRecordCodec() {}

    static JsonNode encode(LeaderRecord leader) {
        return Json.object()
                .put(MEMBER, leader.member())
                .put(PROCESS, leader.process())
                .put(TERM, leader.term())
                .put(LEASE, leader.leaseId());
    }

    static LeaderRecord decode(JsonNode value) {
        return new LeaderRecord(
                value.path(MEMBER).asText(),
                value.path(PROCESS).asLong(),
                value.path(TERM).asLong(),
                value.path(LEASE).asLong());
    }

    static JsonNode encodeTerm(long term) {
        return Json.object().put(TERM, term);
    }

    static long decodeTerm(JsonNode value) {
        return value.path(TERM).asLong();
    }
}
