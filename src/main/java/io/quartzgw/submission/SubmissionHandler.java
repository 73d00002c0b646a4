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
 * Serves users' requests to submit, query and cancel jobs. A submission is decoded, checked, admitted, stored and
 * answered, in this order. Every request is answered as soon as the state service has responded.
 */
public final class SubmissionHandler {
    /** Path of submissions and prefix of the paths of all user requests. */
    public static final String PATH = "/submissions";

    private static final String CANCEL_SUFFIX = "/abort";
    private static final int MAX_CANCEL_ATTEMPTS = 4;

    /** Receives job events before the user receives the response. */
    public interface Listener {
        /** A job was accepted; the leader should schedule it immediately. */
        void accepted(OpenJob job);

        /** A job's cancellation is about to be acknowledged to a user, possibly for the first time. */
        void cancelled(String id);
    }

    private final EventLoop eventLoop;
    private final StoreClient store;
    private final JobStore jobs;
    private final SubmissionCheck submissionCheck;
    private final Listener listener;
    private final TreeMap<String, TaskCountPage.TaskCounts> taskCounts = new TreeMap<>();

    /** @param listener receives accepted jobs, and cancellations before they are acknowledged */
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

    /** Updates the displayed task counts with a page from the leader. */
    public void updateTaskCounts(TaskCountPage page) {
        page.replaceRangeIn(taskCounts);
    }

    /** Serves a request whose path begins with {@link #PATH}. */
    public void serve(Request request) {
        String pathSuffix = request.path().substring(PATH.length());
        if (pathSuffix.isEmpty()) {
            if (requireMethod(request, "POST")) {
                submit(request);
            }
        } else if (pathSuffix.endsWith(CANCEL_SUFFIX) && pathSuffix.length() > CANCEL_SUFFIX.length() + 1) {
            if (requireMethod(request, "POST")) {
                cancel(request, pathSuffix.substring(1, pathSuffix.length() - CANCEL_SUFFIX.length()));
            }
        } else if (requireMethod(request, "GET")) {
            poll(request, pathSuffix.substring(1));
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
        } else if (result instanceof SubmissionCheck.Result.InvalidJobId invalid) {
            answer(request, invalid.response());
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

    // A repeated submission of an existing job gets the job's state with status 200, even if its body has changed.
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

    /** Looks up a job, and answers the request itself if the state service is unavailable. */
    private void lookUp(Request request, String id, Consumer<JobStore.LookupResult> callback) {
        if (jobs.terminalState(id).isEmpty() && !store.reachable()) {
            answer(request, JobResponses.storeUnavailable());
            return;
        }
        jobs.lookUp(id, found -> {
            if (found instanceof JobStore.LookupResult.Unavailable) {
                answer(request, JobResponses.storeUnavailable());
            } else {
                callback.accept(found);
            }
        });
    }

    private void answerState(Request request, String id, JobStore.LookupResult found) {
        if (found instanceof JobStore.LookupResult.Open) {
            answer(request, JobResponses.open(id, taskCountsOf(id)));
        } else if (found instanceof JobStore.LookupResult.Terminal terminal) {
            if (terminal.state().cancelled()) {
                // The response to the cancellation may have been lost, so this may be the first acknowledgement.
                listener.cancelled(id);
            }
            answer(request, JobResponses.terminal(id, terminal.state()));
        } else {
            answer(request, JobResponses.notFound());
        }
    }

    // ---- cancellation

    private void cancel(Request request, String id) {
        if (!JobCodec.isValidJobId(id)) {
            answer(request, JobResponses.notFound());
            return;
        }
        cancel(request, id, MAX_CANCEL_ATTEMPTS);
    }

    private void cancel(Request request, String id, int attemptsLeft) {
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
                // The job became terminal in the meantime. Its first terminal state is final, so read that one.
                cancel(request, id, attemptsLeft - 1);
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
