package io.quartzgw.submission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Json;
import io.quartzgw.http.Response;

/** The responses to users, with the protocol's field names and phases. */
final class JobResponses {
    static final String CANCELLED = "withdrawn";
    static final String COMPLETED = "done";
    private static final String PENDING = "pending";
    private static final String RUNNING = "running";
    /** When a user should retry while the state service is unavailable. */
    private static final int UNAVAILABLE_RETRY_S = 2;
    /** When a user should retry after a conflict with another submission of the same ID. */
    private static final int CONFLICT_RETRY_S = 1;

    private JobResponses() {}

    /** A new job was recorded. */
    static Response accepted(String id) {
        return Response.json(201, body(id, PENDING));
    }

    /** The job is open. */
    static Response open(String id, TaskCountPage.TaskCounts counts) {
        ObjectNode body = body(id, counts.running() > 0 ? RUNNING : PENDING)
                .put("done", counts.completed())
                .put("running", counts.running());
        return Response.json(200, body);
    }

    /** The job is terminal. */
    static Response terminal(String id, TerminalState state) {
        ObjectNode body = body(id, state.cancelled() ? CANCELLED : COMPLETED)
                .put("done", state.completedTasks())
                .put("running", 0);
        return Response.json(200, body);
    }

    /** The job was cancelled by this request. */
    static Response cancelled(String id) {
        return Response.json(200, body(id, CANCELLED));
    }

    static Response notFound() {
        return Response.error(404, "no such job");
    }

    static Response methodNotAllowed() {
        return Response.error(405, "method not allowed");
    }

    /** The submission is malformed. */
    static Response malformed(String reason) {
        return Response.error(400, reason);
    }

    /** The submission is well-formed, but the job can never run. */
    static Response notAdmitted(String reason) {
        return Response.error(422, reason);
    }

    static Response machineTypesUnknown() {
        return Response.unavailable("machine types not known yet", UNAVAILABLE_RETRY_S);
    }

    static Response conflict() {
        return Response.unavailable("try again", CONFLICT_RETRY_S);
    }

    static Response storeUnavailable() {
        return Response.unavailable("the state service does not answer", UNAVAILABLE_RETRY_S);
    }

    private static ObjectNode body(String id, String phase) {
        return Json.object().put("id", id).put("phase", phase);
    }
}
