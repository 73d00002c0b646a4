package io.quartzgw.simulation;

import io.quartzgw.app.Controller;
import io.quartzgw.app.Settings;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.http.Call;
import io.quartzgw.http.Json;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.http.Request;
import io.quartzgw.http.Response;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * One controller of the cluster: the program's event loop with simulated time, listeners and connections. It may crash
 * and be restarted any number of times. Events that were scheduled for a process are discarded once it has crashed.
 */
final class SimulatedController {
    private static final int RETRY_AFTER_S = 1;

    private final String name;
    private final SimulationContext context;
    private final SimulatedNetwork network;
    private final SentMessagesDigest messagesDigest;
    private final LeaderActionChecks leaderActionChecks;
    private final Map<Long, Consumer<Response>> unansweredRequests = new HashMap<>();
    private final List<LoopEvent> receivedWhilePaused = new ArrayList<>();
    /** The effects of the batch in which the process was paused; they are executed when it resumes. */
    private final List<Effect> unsentEffects = new ArrayList<>();
    /** The deadlines of calls that have not ended, by call number. */
    private final Map<Long, Long> callDeadlines = new HashMap<>();

    private final List<LoopEvent> pendingBatch = new ArrayList<>();
    private Optional<Controller> controller = Optional.empty();
    private ConfirmedLease lease = new ConfirmedLease();
    private EventLoop eventLoop;
    /** Incremented at each start and crash, to distinguish the processes of this controller. */
    private long incarnation;

    private long wakeUpAt = Long.MAX_VALUE;
    private long requestCount;
    private boolean paused;
    /** Selects the batch in which the process pauses, after processing it and before sending its messages. */
    private Predicate<List<Effect>> pauseCondition = SimulatedController::neverPause;

    private long maxBatchDelayMs;

    SimulatedController(
            String name,
            SimulationContext context,
            SimulatedNetwork network,
            SentMessagesDigest messagesDigest,
            LeaderActionChecks leaderActionChecks) {
        this.name = name;
        this.context = context;
        this.network = network;
        this.messagesDigest = messagesDigest;
        this.leaderActionChecks = leaderActionChecks;
    }

    /** Starts a new process. */
    void start(Settings settings, long processId) {
        incarnation++;
        wakeUpAt = Long.MAX_VALUE;
        unansweredRequests.clear();
        paused = false;
        pauseCondition = SimulatedController::neverPause;
        receivedWhilePaused.clear();
        unsentEffects.clear();
        callDeadlines.clear();
        pendingBatch.clear();
        lease = new ConfirmedLease();
        eventLoop = new EventLoop(context.random().nextLong());
        eventLoop.processBatch(List.of(), context.events().clockReading());
        Controller started = new Controller(eventLoop, settings, processId, Json::object);
        controller = Optional.of(started);
        started.start();
        process(List.of());
    }

    /** Ends the process abruptly, without shutdown. */
    void crash() {
        incarnation++;
        controller = Optional.empty();
    }

    /** Pauses the process while its clocks continue to run. It processes what it received meanwhile when it resumes. */
    void pause(long durationMs) {
        if (!isUp() || paused) {
            return;
        }
        paused = true;
        scheduleForThisProcess(durationMs, this::resume);
    }

    /** As {@link #pause}, but in the middle of the next batch: its messages are sent after the pause. */
    void pauseWithinBatch(long durationMs) {
        pauseWithinBatch(durationMs, effects -> true);
    }

    /** As {@link #pauseWithinBatch}, but in the next batch that sends a call to {@code path}. */
    void pauseBeforeCall(String path, long durationMs) {
        pauseWithinBatch(durationMs, effects -> effects.stream()
                .anyMatch(effect -> effect instanceof Effect.Send send
                        && send.request().path().equals(path)));
    }

    private static boolean neverPause(List<Effect> effects) {
        return false;
    }

    private void pauseWithinBatch(long durationMs, Predicate<List<Effect>> condition) {
        if (!isUp() || paused) {
            return;
        }
        pauseCondition = condition;
        scheduleForThisProcess(durationMs, () -> {
            pauseCondition = SimulatedController::neverPause;
            resume();
        });
    }

    /** Resumes the process: it processes due timers and ended calls before it reads new requests. */
    private void resume() {
        paused = false;
        List<Effect> unsent = List.copyOf(unsentEffects);
        unsentEffects.clear();
        unsent.forEach(this::execute);
        List<LoopEvent> endedCalls = receivedWhilePaused.stream()
                .filter(LoopEvent.CallEnded.class::isInstance)
                .map(ended -> withTimeoutApplied((LoopEvent.CallEnded) ended))
                .toList();
        List<LoopEvent> requests = receivedWhilePaused.stream()
                .filter(LoopEvent.RequestReceived.class::isInstance)
                .toList();
        receivedWhilePaused.clear();
        process(endedCalls);
        process(requests);
    }

    /** Replaces the reply of a call that timed out while the process was paused by a lost one. */
    private LoopEvent withTimeoutApplied(LoopEvent.CallEnded ended) {
        boolean timedOut = callDeadlines.getOrDefault(ended.call(), Long.MAX_VALUE)
                <= context.events().now();
        return timedOut ? new LoopEvent.CallEnded(ended.call(), Reply.unanswered()) : ended;
    }

    /** Sets the bound of the time for which commands are collected into a batch; with 0 each is processed at once. */
    void setMaxBatchDelay(long delayMs) {
        maxBatchDelayMs = delayMs;
    }

    boolean isUp() {
        return controller.isPresent();
    }

    boolean isLeading() {
        return controller.filter(Controller::isLeading).isPresent();
    }

    /** The term that the running process has recorded. */
    long term() {
        return controller.orElseThrow().term();
    }

    /** The number of event loop commands that failed in the running process. */
    long failedEvents() {
        return eventLoop.failedEvents();
    }

    /** The counters of the running process, by name. */
    Map<String, Long> counters() {
        return eventLoop.counters();
    }

    /** Delivers a request to a listener of the controller; has no effect when the controller is down. */
    void deliver(ListenerKind listener, Call call, Consumer<Reply> onReply) {
        if (!isUp()) {
            return;
        }
        long id = ++requestCount;
        unansweredRequests.put(id, response -> onReply.accept(new Reply(response.status(), response.body())));
        byte[] body = call.body() == null ? new byte[0] : call.body();
        receive(new LoopEvent.RequestReceived(new Request(id, listener, call.method(), call.path(), "", body)));
    }

    private void receive(LoopEvent command) {
        if (maxBatchDelayMs == 0) {
            process(List.of(command));
            return;
        }
        pendingBatch.add(command);
        if (pendingBatch.size() == 1) {
            scheduleForThisProcess(context.random().nextLong(maxBatchDelayMs), () -> {
                List<LoopEvent> batch = List.copyOf(pendingBatch);
                pendingBatch.clear();
                process(batch);
            });
        }
    }

    private void process(List<LoopEvent> batch) {
        if (paused) {
            receivedWhilePaused.addAll(batch);
            return;
        }
        batch.forEach(this::removeCallDeadline);
        EventQueue events = context.events();
        // Log lines contain the thread name, so it is set to the simulated time and the controller's name.
        Thread.currentThread().setName(events.now() + " " + name);
        List<Effect> effects = eventLoop.processBatch(batch, events.clockReading());
        if (pauseCondition.test(effects)) {
            paused = true;
            unsentEffects.addAll(effects);
        } else {
            effects.forEach(this::execute);
        }
        scheduleWakeUp();
    }

    private void removeCallDeadline(LoopEvent command) {
        if (command instanceof LoopEvent.CallEnded ended) {
            callDeadlines.remove(ended.call());
        }
    }

    private void execute(Effect effect) {
        EventQueue events = context.events();
        if (events.now() >= effect.validUntilMs()) {
            rejectExpired(effect);
            return;
        }
        messagesDigest.add(events.now(), name, effect);
        leaderActionChecks.check(
                name, effect, lease.isHeldAt(events.now()), controller.orElseThrow()::isKnownCancelled);
        if (effect instanceof Effect.Answer answer) {
            Consumer<Response> receiver = unansweredRequests.remove(answer.exchange());
            if (receiver != null) {
                receiver.accept(answer.response());
            }
        } else if (effect instanceof Effect.Send send) {
            send(send);
        }
    }

    private void rejectExpired(Effect effect) {
        if (effect instanceof Effect.Answer answer) {
            execute(new Effect.Answer(
                    answer.exchange(), Response.unavailable("late", RETRY_AFTER_S), Effect.ALWAYS_VALID));
        } else if (effect instanceof Effect.Send send) {
            receive(new LoopEvent.CallEnded(send.call(), Reply.unsent()));
        }
    }

    private void send(Effect.Send send) {
        long senderIncarnation = incarnation;
        long sentAt = context.events().now();
        lease.recordRequest(send.request());
        callDeadlines.put(send.call(), sentAt + send.request().timeoutMs());
        network.send(name, send.request(), reply -> {
            if (incarnation == senderIncarnation && isUp()) {
                lease.recordReply(send.request(), sentAt, reply);
                receive(new LoopEvent.CallEnded(send.call(), reply));
            }
        });
    }

    private void scheduleWakeUp() {
        long now = context.events().now();
        long dueAt = Math.max(now + 1, eventLoop.nextTimerAt());
        if (dueAt < wakeUpAt) {
            wakeUpAt = dueAt;
            scheduleForThisProcess(dueAt - now, () -> {
                wakeUpAt = Long.MAX_VALUE;
                process(List.of());
            });
        }
    }

    private void scheduleForThisProcess(long delayMs, Runnable action) {
        long scheduledIncarnation = incarnation;
        context.events().scheduleAfter(delayMs, () -> {
            if (incarnation == scheduledIncarnation && isUp()) {
                action.run();
            }
        });
    }
}
