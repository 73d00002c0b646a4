package io.quartzgw.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Users who submit, query and cancel jobs at any controller; the invariants are checked on each response. */
public final class SimulatedUsers {
    private static final long TIMEOUT_MS = 5_000;
    private static final long RETRY_DELAY_MS = 1_000;
    private static final int MIN_QUERY_DELAY_MS = 2_000;
    private static final int QUERY_DELAY_SPREAD_MS = 1_000;
    /** Jobs are cancelled within this time after their last task ended, while the terminal state is being written. */
    private static final int CANCEL_AT_END_SPREAD_MS = 60;

    private static final int CANCEL_SPREAD_MS = 200;
    /** One in N submissions is repeated when invalid requests are sent. */
    private static final int REPEAT_ONE_IN_N = 4;

    private static final String JOBS_PATH = "/submissions";
    private static final Endpoint UNUSED_ENDPOINT = new Endpoint("10.0.0.1", 1);

    private final EventQueue events;
    private final SplittableRandom random;
    private final SimulatedNetwork network;
    private final SimulatedControllers controllers;
    private final SubmittedJobs jobs;
    private final ProtocolInvariants invariants;
    private double cancelAtEndShare;

    SimulatedUsers(
            SimulationContext context,
            SimulatedNetwork network,
            SimulatedControllers controllers,
            SubmittedJobs jobs,
            ProtocolInvariants invariants) {
        this.events = context.events();
        this.random = context.random();
        this.network = network;
        this.controllers = controllers;
        this.jobs = jobs;
        this.invariants = invariants;
        invariants.onLastTaskCompleted(this::maybeCancelAtEnd);
    }

    // ---- single requests

    /** Sends a request without a body to a controller; without a reply within 5 s it is reported as lost. */
    public void sendRequest(int controller, String method, String path, Consumer<Reply> onReply) {
        send(controller, method, Call.get(UNUSED_ENDPOINT, path, TIMEOUT_MS), onReply);
    }

    /** Sends a request with a JSON body to a controller; without a reply within 5 s it is reported as lost. */
    public void sendRequest(int controller, String method, String path, JsonNode body, Consumer<Reply> onReply) {
        send(controller, method, Call.post(UNUSED_ENDPOINT, path, body, TIMEOUT_MS), onReply);
    }

    private void send(int controller, String method, Call call, Consumer<Reply> onReply) {
        SingleReply firstReply = new SingleReply(onReply);
        events.scheduleAfter(TIMEOUT_MS, () -> firstReply.accept(Reply.unanswered()));
        Call request = new Call(call.endpoint(), method, call.path(), call.type(), call.body(), TIMEOUT_MS);
        events.scheduleAfter(
                1,
                () -> controllers.deliver(
                        controller,
                        ListenerKind.CLIENT,
                        request,
                        reply -> events.scheduleAfter(1, () -> firstReply.accept(reply))));
    }

    /** Queries a job at one controller, without retries. */
    public void queryJob(int controller, String job, Consumer<Reply> onReply) {
        long sentAt = events.now();
        sendRequest(controller, "GET", jobPath(job), reply -> receive(job, reply, sentAt, onReply));
    }

    /** Cancels a job at one controller, without retries. */
    public void cancelJob(int controller, String job, Consumer<Reply> onReply) {
        invariants.recordCancellationRequest(job);
        postForJob(controller, job, cancelPath(job), Json.object(), onReply);
    }

    /** Submits a job at one controller, without retries; also used to repeat an earlier submission. */
    public void submitOnce(int controller, JsonNode spec, Consumer<Reply> onReply) {
        recordSubmission(spec);
        postForJob(controller, spec.path("id").asText(), JOBS_PATH, spec, onReply);
    }

    private void postForJob(int controller, String job, String path, JsonNode body, Consumer<Reply> onReply) {
        long sentAt = events.now();
        sendRequest(controller, "POST", path, body, reply -> receive(job, reply, sentAt, onReply));
    }

    private void receive(String job, Reply reply, long sentAt, Consumer<Reply> onReply) {
        if (isSuccess(reply) || reply.status() == 404) {
            invariants.recordResponse(job, reply, sentAt, events.now());
        }
        onReply.accept(reply);
    }

    private static boolean isSuccess(Reply reply) {
        return reply.status() / 100 == 2;
    }

    private static String jobPath(String job) {
        return JOBS_PATH + "/" + job;
    }

    private static String cancelPath(String job) {
        return jobPath(job) + "/abort";
    }

    private void recordSubmission(JsonNode spec) {
        jobs.add(spec);
        invariants.recordSubmission(spec);
    }

    /** The spec of a submitted job; empty when the job was not submitted. */
    public Optional<JsonNode> submittedSpec(String job) {
        return jobs.find(job);
    }

    // ---- requests with retries

    /** Submits a job, retries until it is accepted, and then queries it repeatedly. */
    public void submitUntilAccepted(JsonNode spec) {
        submitUntilAccepted(spec, OptionalLong.empty());
    }

    /** Does the same, and also cancels the job at the given time, if any. */
    public void submitUntilAccepted(JsonNode spec, OptionalLong cancelAt) {
        recordSubmission(spec);
        String job = spec.path("id").asText();
        retrySubmission(job, spec);
        cancelAt.ifPresent(time -> events.schedule(time, () -> retryCancellation(job)));
    }

    private void retrySubmission(String job, JsonNode spec) {
        network.maybeDuplicate(() -> repeatSubmission(job, spec));
        postForJob(controllers.randomIndex(), job, JOBS_PATH, spec, reply -> {
            if (isSuccess(reply)) {
                queryRepeatedly(job);
            } else {
                invariants.recordRejection(job, reply.status());
                events.scheduleAfter(RETRY_DELAY_MS, () -> retrySubmission(job, spec));
            }
        });
    }

    private void repeatSubmission(String job, JsonNode spec) {
        postForJob(
                controllers.randomIndex(),
                job,
                JOBS_PATH,
                spec,
                reply -> invariants.recordRejection(job, reply.status()));
    }

    private void queryRepeatedly(String job) {
        events.scheduleAfter(
                MIN_QUERY_DELAY_MS + random.nextInt(QUERY_DELAY_SPREAD_MS),
                () -> queryJob(controllers.randomIndex(), job, reply -> queryRepeatedly(job)));
    }

    private void retryCancellation(String job) {
        invariants.recordCancellationRequest(job);
        network.maybeDuplicate(
                () -> postForJob(controllers.randomIndex(), job, cancelPath(job), Json.object(), reply -> {}));
        postForJob(controllers.randomIndex(), job, cancelPath(job), Json.object(), reply -> {
            if (!reply.ok()) {
                events.scheduleAfter(RETRY_DELAY_MS, () -> retryCancellation(job));
            }
        });
    }

    // ---- faults

    /** Sets the share of jobs that are cancelled shortly after their last task has ended. */
    public void cancelJobsAtLastTaskEnd(double share) {
        cancelAtEndShare = share;
    }

    private void maybeCancelAtEnd(String job) {
        if (cancelAtEndShare > 0 && random.nextDouble() < cancelAtEndShare) {
            events.scheduleAfter(random.nextInt(CANCEL_AT_END_SPREAD_MS), () -> retryCancellation(job));
        }
    }

    /** Cancels up to the given number of running jobs, all within a fraction of a second. */
    public void cancelRunningJobs(int count) {
        List<String> running = invariants.runningJobs();
        for (String job : running.subList(0, Math.min(count, running.size()))) {
            events.scheduleAfter(random.nextInt(CANCEL_SPREAD_MS), () -> retryCancellation(job));
        }
    }

    /**
     * Submits invalid jobs and jobs that can never run, repeats some earlier submissions, and queries and cancels a job
     * that was not submitted.
     */
    public void sendInvalidRequests() {
        for (JsonNode spec : jobs.all()) {
            if (random.nextInt(REPEAT_ONE_IN_N) == 0) {
                repeatSubmission(spec.path("id").asText(), spec);
            }
        }
        String unknown = "j-9" + events.now();
        InvalidJobs.of(unknown)
                .forEach(spec -> sendRequest(
                        controllers.randomIndex(),
                        "POST",
                        JOBS_PATH,
                        spec,
                        reply -> invariants.recordResponseToInvalidJob(spec.toString(), reply.status())));
        Consumer<Reply> onReply = reply -> invariants.recordResponseForUnknownJob(unknown, reply.status());
        sendRequest(controllers.randomIndex(), "GET", jobPath(unknown), onReply);
        sendRequest(controllers.randomIndex(), "POST", cancelPath(unknown), Json.object(), onReply);
    }
}
