package io.quartzgw.submission;

import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import io.quartzgw.model.JobSpec;
import io.quartzgw.model.MachineTypes;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.TransactionOutcome;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Serves the users' requests: submit, poll and abort. A submission is decoded, checked, admitted, stored and answered,
 * in this order; every request is answered as soon as the state service has responded.
 */
public final class SubmissionHandler {
    /** The path of submissions; all requests of users begin with it. */
    public static final String PATH = "/submissions";

    private static final String ABORT_SUFFIX = "/abort";
    private static final int MAX_ABORT_ATTEMPTS = 4;

    /** Is notified of jobs before a user is. */
    public interface Listener {
        /** A job was accepted; the leader should schedule it at once. */
        void accepted(OpenJob job);

        /** A user is about to learn that a job is cancelled, perhaps as the first one. */
        void cancelled(String id);
    }

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final JobStore jobs;
    private final SubmissionCheck submissionCheck;
    private final Listener listener;
    private final TreeMap<String, TaskCountPage.TaskCounts> taskCounts = new TreeMap<>();

    /** @param listener is notified of accepted jobs, and of cancellations before a user is */
    public SubmissionHandler(
            EventLoop eventLoop,
            StoreClient store,
            JobStore jobs,
            MachineTypes machineTypes,
            Admission admission,
            Listener listener) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.jobs = jobs;
        this.submissionCheck = new SubmissionCheck(machineTypes, admission, store.maxValueBytes());
        this.listener = listener;
    }

    /** Updates the leader's task counts for display. */
    public void taskCounts(TaskCountPage page) {
        page.replaceRangeIn(taskCounts);
    }

    /** Serves a request whose path begins with {@link #PATH}. */
    public void serve(Request request) {
        String rest = request.path().substring(PATH.length());
        if (rest.isEmpty()) {
            if (requireMethod(request, "POST")) {
                submit(request);
            }
        } else if (rest.endsWith(ABORT_SUFFIX) && rest.length() > ABORT_SUFFIX.length() + 1) {
            if (requireMethod(request, "POST")) {
                abort(request, rest.substring(1, rest.length() - ABORT_SUFFIX.length()));
            }
        } else if (requireMethod(request, "GET")) {
            poll(request, rest.substring(1));
        }
    }

    private boolean requireMethod(Request request, String method) {
        if (!request.method().equals(method)) {
            answer(request, JobResponses.methodNotAllowed());
            return false;
        }
        return true;
    }

    // ---- submit

    private void submit(Request request) {
        SubmissionCheck.Result result = submissionCheck.check(request.body(), eventLoop.wallClockMs());
        if (result instanceof SubmissionCheck.Result.Admitted admitted) {
            accept(request, admitted.spec());
        } else if (result instanceof SubmissionCheck.Result.Rejected rejected) {
            answerUnlessJobExists(request, rejected.id(), rejected.response());
        } else if (result instanceof SubmissionCheck.Result.InvalidJobId notAJob) {
            answer(request, notAJob.response());
        }
    }

    private void accept(Request request, JobSpec spec) {
        if (jobs.terminalState(spec.id()).isPresent()) {
            lookUp(request, spec.id(), found -> answerState(request, spec.id(), found));
        } else if (!store.reachable()) {
            answer(request, JobResponses.storeUnavailable());
        } else {
            jobs.accept(spec, eventLoop.wallClockMs(), result -> answerAcceptance(request, spec.id(), result));
        }
    }

    private void answerAcceptance(Request request, String id, JobStore.AcceptResult result) {
        if (result instanceof JobStore.AcceptResult.New created) {
            answer(request, JobResponses.accepted(id));
            listener.accepted(created.job());
        } else if (result instanceof JobStore.AcceptResult.AlreadyExists) {
            answerUnlessJobExists(request, id, JobResponses.conflict());
        } else {
            answer(request, JobResponses.storeUnavailable());
        }
    }

    // A repeat of an accepted submission gets its state with 200, whatever its body says now.
    private void answerUnlessJobExists(Request request, String id, Response response) {
        lookUp(request, id, found -> {
            if (found instanceof JobStore.LookupResult.NotFound) {
                answer(request, response);
            } else {
                answerState(request, id, found);
            }
        });
    }

    // ---- poll

    private void poll(Request request, String id) {
        if (!JobCodec.isValidJobId(id)) {
            answer(request, JobResponses.notFound());
            return;
        }
        lookUp(request, id, found -> answerState(request, id, found));
    }

    /** Looks a job up, and answers the request itself when the state service is unavailable. */
    private void lookUp(Request request, String id, Consumer<JobStore.LookupResult> then) {
        if (jobs.terminalState(id).isEmpty() && !store.reachable()) {
            answer(request, JobResponses.storeUnavailable());
            return;
        }
        jobs.lookUp(id, found -> {
            if (found instanceof JobStore.LookupResult.Unavailable) {
                answer(request, JobResponses.storeUnavailable());
            } else {
                then.accept(found);
            }
        });
    }

    private void answerState(Request request, String id, JobStore.LookupResult found) {
        if (found instanceof JobStore.LookupResult.Open) {
            answer(request, JobResponses.open(id, taskCountsOf(id)));
        } else if (found instanceof JobStore.LookupResult.Terminal terminal) {
            if (terminal.state().cancelled()) {
                // The response to the abort itself may have been lost: this user may be the first to learn of it.
                listener.cancelled(id);
            }
            answer(request, JobResponses.terminal(id, terminal.state()));
        } else {
            answer(request, JobResponses.notFound());
        }
    }

    // ---- abort

    private void abort(Request request, String id) {
        if (!JobCodec.isValidJobId(id)) {
            answer(request, JobResponses.notFound());
            return;
        }
        abort(request, id, MAX_ABORT_ATTEMPTS);
    }

    private void abort(Request request, String id, int attemptsLeft) {
        lookUp(request, id, found -> {
            if (found instanceof JobStore.LookupResult.Open open) {
                cancel(request, id, open.revision(), attemptsLeft);
            } else {
                answerState(request, id, found);
            }
        });
    }

    private void cancel(Request request, String id, long revision, int attemptsLeft) {
        jobs.cancel(id, revision, taskCountsOf(id).completed(), outcome -> {
            if (outcome instanceof TransactionOutcome.Committed) {
                listener.cancelled(id);
                answer(request, JobResponses.cancelled(id));
            } else if (outcome instanceof TransactionOutcome.Conflict && attemptsLeft > 1) {
                // The job became terminal meanwhile: its first terminal state stands, so read which one it is.
                abort(request, id, attemptsLeft - 1);
            } else {
                answer(request, JobResponses.storeUnavailable());
            }
        });
    }

    private TaskCountPage.TaskCounts taskCountsOf(String id) {
        return taskCounts.getOrDefault(id, TaskCountPage.TaskCounts.NONE);
    }

    private void answer(Request request, Response response) {
        eventLoop.answer(request.exchange(), response);
    }
}
