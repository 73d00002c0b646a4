package io.quartzgw.submission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Json;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.TransactionOutcome;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Serves the users: every request gets its answer as soon as the state service has told. */
public final class SubmissionHandler {
    public static final String PATH = "/submissions";
    private static final String ABORT = "/abort";
    /** When a user should come back while the state service is away. */
    private static final int AWAY_RETRY_S = 2;

    private static final int ABORT_TRIES = 4;

    /** Told about jobs, before a user is; the leader wants to know at once. */
    public interface Listener {
        void accepted(OpenJob job);

        /** A user is about to be told that a job is cancelled, perhaps as the first one. */
        void cancelled(String id);
    }

    private final EventLoop kernel;
    private final StoreClient store;
    private final JobStore jobs;
    private final MachineTypes types;
    private final Admission admission;
    private final Listener listener;
    private final TreeMap<String, JobCounts.TaskCounts> taskCounts = new TreeMap<>();

    /** @param listener learns of accepted jobs, and of cancellations before a user is told */
    public SubmissionHandler(
            EventLoop kernel,
            StoreClient store,
            JobStore jobs,
            MachineTypes types,
            Admission admission,
            Listener listener) {
        this.kernel = kernel;
        this.store = store;
        this.jobs = jobs;
        this.types = types;
        this.admission = admission;
        this.listener = listener;
    }

    /** Takes the leader's counts for display. */
    public void taskCounts(JobCounts page) {
        page.mergeInto(taskCounts);
    }

    /** Serves a request whose path begins with {@link #PATH}. */
    public void serve(Request request) {
        String rest = request.path().substring(PATH.length());
        if (rest.isEmpty()) {
            if (allowed(request, "POST")) {
                submit(request);
            }
        } else if (rest.endsWith(ABORT) && rest.length() > ABORT.length() + 1) {
            if (allowed(request, "POST")) {
                abort(request, rest.substring(1, rest.length() - ABORT.length()));
            }
        } else if (allowed(request, "GET")) {
            poll(request, rest.substring(1));
        }
    }

    private boolean allowed(Request request, String method) {
        if (!request.method().equals(method)) {
            kernel.answer(request.exchange(), Response.error(405, "method not allowed"));
            return false;
        }
        return true;
    }

    // ---- submit

    private void submit(Request request) {
        JsonNode body = Json.readOrNull(request.body());
        String id = body == null ? null : body.path("id").textValue();
        if (!JobCodec.validId(id)) {
            kernel.answer(request.exchange(), Response.error(400, "not a job: a JSON object with a job id is due"));
            return;
        }
        JobSpec spec;
        try {
            spec = JobCodec.read(body);
        } catch (InvalidJobException e) {
            respondUnlessKnown(request, id, Response.error(400, e.getMessage()));
            return;
        }
        if (Json.write(OpenJob.record(spec, kernel.wallClockMs())).length > store.maxValueBytes()) {
            respondUnlessKnown(request, id, Response.error(400, "the description is too long"));
            return;
        }
        if (!types.isKnown()) {
            respondUnlessKnown(request, id, Response.unavailable("machine types not known yet", AWAY_RETRY_S));
            return;
        }
        String refusal = admission.refusal(spec, types.all());
        if (refusal != null) {
            respondUnlessKnown(request, id, Response.error(422, refusal));
            return;
        }
        accept(request, spec);
    }

    // A repeat of an accepted submission gets 200, whatever its body says now.
    private void respondUnlessKnown(Request request, String id, Response otherwise) {
        lookUp(
                request,
                id,
                found -> kernel.answer(
                        request.exchange(),
                        found instanceof JobStore.LookupResult.NotFound ? otherwise : stateResponse(id, found)));
    }

    private void accept(Request request, JobSpec spec) {
        TerminalState known = jobs.cachedTerminalState(spec.id());
        if (known != null) {
            kernel.answer(request.exchange(), stateResponse(spec.id(), new JobStore.LookupResult.Terminal(known)));
            return;
        }
        if (!store.reachable()) {
            respondUnavailable(request);
            return;
        }
        jobs.accept(spec, kernel.wallClockMs(), accepted -> {
            if (accepted instanceof JobStore.AcceptResult.New created) {
                kernel.answer(request.exchange(), Response.json(201, body(spec.id(), "pending")));
                listener.accepted(created.job());
            } else if (accepted instanceof JobStore.AcceptResult.Known) {
                respondUnlessKnown(request, spec.id(), Response.unavailable("try again", 1));
            } else {
                respondUnavailable(request);
            }
        });
    }

    // ---- poll

    private void poll(Request request, String id) {
        if (!JobCodec.validId(id)) {
            kernel.answer(request.exchange(), Response.error(404, "no such job"));
            return;
        }
        lookUp(request, id, found -> kernel.answer(request.exchange(), stateResponse(id, found)));
    }

    private void lookUp(Request request, String id, Consumer<JobStore.LookupResult> then) {
        if (jobs.cachedTerminalState(id) == null && !store.reachable()) {
            respondUnavailable(request);
            return;
        }
        jobs.lookUp(id, found -> {
            if (found instanceof JobStore.LookupResult.Unavailable) {
                respondUnavailable(request);
            } else {
                then.accept(found);
            }
        });
    }

    private Response stateResponse(String id, JobStore.LookupResult found) {
        if (found instanceof JobStore.LookupResult.Open) {
            JobCounts.TaskCounts now = taskCounts.getOrDefault(id, JobCounts.TaskCounts.NONE);
            return Response.json(
                    200,
                    body(id, now.running() > 0 ? "running" : "pending")
                            .put("done", now.done())
                            .put("running", now.running()));
        }
        if (found instanceof JobStore.LookupResult.Terminal over) {
            if (over.phase().cancelled()) {
                // Guards the user whose abort was carried out while its answer got lost: this one may be the first to
                // tell.
                listener.cancelled(id);
            }
            return Response.json(
                    200,
                    body(id, over.phase().cancelled() ? "withdrawn" : "done")
                            .put("done", over.phase().doneTasks())
                            .put("running", 0));
        }
        return Response.error(404, "no such job");
    }

    // ---- abort

    private void abort(Request request, String id) {
        if (!JobCodec.validId(id)) {
            kernel.answer(request.exchange(), Response.error(404, "no such job"));
            return;
        }
        abort(request, id, ABORT_TRIES);
    }

    private void abort(Request request, String id, int tries) {
        lookUp(request, id, found -> {
            if (!(found instanceof JobStore.LookupResult.Open open)) {
                kernel.answer(request.exchange(), stateResponse(id, found));
                return;
            }
            jobs.cancel(
                    id,
                    open.revision(),
                    taskCounts.getOrDefault(id, JobCounts.TaskCounts.NONE).done(),
                    outcome -> {
                        if (outcome instanceof TransactionOutcome.Committed) {
                            listener.cancelled(id);
                            kernel.answer(request.exchange(), Response.json(200, body(id, "withdrawn")));
                        } else if (outcome instanceof TransactionOutcome.Conflict && tries > 1) {
                            // The job has just ended some other way: the first end wins, read which.
                            abort(request, id, tries - 1);
                        } else {
                            respondUnavailable(request);
                        }
                    });
        });
    }

    private void respondUnavailable(Request request) {
        kernel.answer(request.exchange(), Response.unavailable("the state service does not answer", AWAY_RETRY_S));
    }

    private static ObjectNode body(String id, String phase) {
        return Json.object().put("id", id).put("phase", phase);
    }
}
