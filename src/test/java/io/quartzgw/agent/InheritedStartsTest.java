package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
import io.quartzgw.eventloop.LoopEvent;
import io.quartzgw.fleet.CloudClient;
import io.quartzgw.fleet.CloudLimits;
import io.quartzgw.fleet.MachineCatalog;
import io.quartzgw.http.Endpoint;
import io.quartzgw.http.Json;
import io.quartzgw.http.Reply;
import io.quartzgw.leadership.FencingTokens;
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.Attempt;
import io.quartzgw.model.JobShape;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.LateStartsOfCancelledTasks;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.JobSpecBuilder;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.startlog.MachineStarts;
import io.quartzgw.startlog.StartLog;
import io.quartzgw.store.KeyValue;
import io.quartzgw.store.ListResult;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how a leader handles the starts that previous leaders may have sent, and when it may send its own starts in
 * direct calls.
 */
class InheritedStartsTest {
    private static final Endpoint STATE_SERVICE = new Endpoint("10.2.0.1", 1);
    private static final String MACHINE = "i-1";
    private static final String OTHER_MACHINE = "i-2";
    private static final String JOB = "j-000001";
    private static final int RECORDED_START_LIMIT = 2;
    private static final long PREVIOUS_LEADER_ATTEMPT = 7;
    private static final long HEARTBEAT_MS = 2_500;
    private static final long STEP_MS = 500;
    private static final long TERM_IN_ATTEMPTS = 5;
    /** A cancellation at an unknown time. */
    private static final EndedJobs.Outcome CANCELLED = new EndedJobs.Outcome.Cancelled(OptionalLong.empty());
    /** Stack size of the event loop's thread, as in {@code ControllerProcess}. */
    private static final long EVENT_LOOP_STACK_BYTES = 256 * 1024;

    private static final long LOOK_UP_DURATION_MS = 25_000;
    private static final Attempt START_OF_ENDED_JOB = new Attempt("j-000009", 0, PREVIOUS_LEADER_ATTEMPT);
    private static final MachineType TYPE =
            new MachineType("t", new Resources(8, 0, 32), 40, 1, 1, 0.3, 10, List.of("a", "b"));

    private final EventLoop eventLoop = new EventLoop(1);
    private final SimulatedStore stateService = new SimulatedStore();
    private final StoreClient store =
            new StoreClient(eventLoop, STATE_SERVICE, new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = Elections.candidate(eventLoop, store);
    /** Callbacks of the pending look-ups of ended jobs, by job ID. */
    private final Map<String, Consumer<EndedJobs.Outcome>> pendingLookUps = new HashMap<>();

    private final List<Effect.Send> directCalls = new ArrayList<>();
    private long now;
    private long sequence;
    private LeaderTerm term;
    private ClusterState cluster;
    private StartLog startLog;
    private AgentManager agents;
    private Machine machine;
    private Job job;

    @BeforeEach
    void createLeaderWithVerifiedMachine() {
        Elections.elect(leadership, this::advance);
        term = new LeaderTerm(leadership);
        cluster = new ClusterState(eventLoop, TERM_IN_ATTEMPTS);
        startLog = new StartLog(eventLoop, store, term, HEARTBEAT_MS);
        startLog.load(List.of());
        eventLoop.onBatchEnd(() -> agents.sendPendingCommands());
        eventLoop.onBatchEnd(startLog::flush);
        agents = newAgentManager(pendingLookUps::put);
        machine = addMachine(MACHINE, "a");
        job = addJob(JOB, 2);
        cluster.markUnaccounted(job);
    }

    private AgentManager newAgentManager(EndedJobs lookUps) {
        CloudClient cloud = new CloudClient(eventLoop, STATE_SERVICE, new CloudLimits(4, 5_000));
        AgentManager manager = new AgentManager(
                new LeaderContext(eventLoop, term, cluster, new MachineCatalog(eventLoop, store, cloud, () -> true)),
                new AgentTiming(HEARTBEAT_MS, 16_000, 36_000),
                10,
                id -> false,
                startLog,
                lookUps,
                new IgnoringListener());
        manager.beginReconciling();
        return manager;
    }

    private Machine addMachine(String id, String zone) {
        Machine added = new Machine(id, TYPE, zone, false, now, now);
        added.markHasRunTasks();
        cluster.add(added);
        agents.receive(heartbeat(id, zone, 0));
        return added;
    }

    private Job addJob(String id, double cpus) {
        Job added = cluster.add(new OpenJob(
                JobSpecBuilder.named(id)
                        .team("team")
                        .shape(JobShape.ARRAY)
                        .tasks(3)
                        .demand(cpus, 0, 4)
                        .build(),
                1,
                0));
        added.recordedStartLimit(RECORDED_START_LIMIT);
        return added;
    }

    private Heartbeat heartbeat(String id, String zone, long attempt) {
        return heartbeat(id, zone, attempt, "running", "");
    }

    private Heartbeat heartbeat(String id, String zone, long attempt, String phase, String exitCause) {
        ObjectNode body = Json.object()
                .put("host", id)
                .put("address", "10.1.0.2:9000")
                .put("host_type", "t")
                .put("yard", zone)
                .put("loaner", false)
                .put("tenure", 1)
                .put("counter", ++sequence)
                .put("baton", FencingTokens.lowestOf(term.number()));
        var tasks = body.putArray("shards");
        if (attempt > 0) {
            tasks.addObject()
                    .put("shard", JOB + "/0")
                    .put("try_no", attempt)
                    .put("phase", phase)
                    .put("exit_cause", exitCause);
        }
        return HeartbeatCodec.decode(Json.write(body)).orElseThrow();
    }

    private static final class IgnoringListener implements AgentManager.Listener {
        @Override
        public void taskCompleted(Job job, int index) {}

        @Override
        public void recordNeeded(Machine machine) {}

        @Override
        public void recordNeeded(Job job, int index) {}
    }

    private void advance(long ms) {
        now += ms;
        deliver(eventLoop.processBatch(List.of(), new ClockReading(now, now)));
    }

    /** Executes effects. The state service replies immediately; direct calls to agents stay in flight. */
    private void deliver(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<LoopEvent> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                if (send.request().path().equals("/orders")) {
                    directCalls.add(send);
                } else {
                    stateService.handle(
                            send.request(), now, reply -> replies.add(new LoopEvent.CallEnded(send.call(), reply)));
                }
            }
            effects = replies.isEmpty() ? List.of() : eventLoop.processBatch(replies, new ClockReading(now, now));
        }
    }

    private int inherit(String machineId, int index, long attempt) {
        Set<Attempt> starts = Set.of(new Attempt(JOB, index, attempt));
        return agents.inheritStarts(List.of(new MachineStarts(machineId, starts)));
    }

    private void resolveUnaccountedTasks() {
        agents.allocateInheritedStarts(job);
        cluster.resolveUnaccounted(job);
        agents.resendInheritedStarts(unused -> true);
    }

    // Guards against ran_twice: the task was placed on another machine as soon as no machine was running it.
    @Test
    void allocatesUnaccountedTaskToMachineOfInheritedStart() {
        assertEquals(1, inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT));
        resolveUnaccountedTasks();
        Allocation allocation = job.allocation(0);
        assertEquals(PREVIOUS_LEADER_ATTEMPT, allocation.attempt());
        assertTrue(allocation.isLost());
        assertTrue(agents.mayDirectCallStart(allocation));
        assertEquals("{1, 2}", job.pending().toString());
    }

    @Test
    void ignoresInheritedStartToRemovedMachine() {
        assertEquals(0, inherit("i-9", 0, PREVIOUS_LEADER_ATTEMPT));
        resolveUnaccountedTasks();
        assertEquals("{0, 1, 2}", job.pending().toString());
    }

    // A leader records that a machine runs tasks before it sends a start to the machine.
    @Test
    void ignoresInheritedStartToUnusedMachine() {
        cluster.add(new Machine(OTHER_MACHINE, TYPE, "a", false, now, now));
        assertEquals(0, inherit(OTHER_MACHINE, 0, PREVIOUS_LEADER_ATTEMPT));
    }

    // Guards against binding a task to the wrong machine: such a start was logged but never sent.
    @Test
    void ignoresInheritedStartAtRecordedStartLimit() {
        assertEquals(0, inherit(MACHINE, 2, PREVIOUS_LEADER_ATTEMPT));
    }

    @Test
    void allocatesTaskToMachineOfNewestInheritedStart() {
        addMachine(OTHER_MACHINE, "a");
        agents.inheritStarts(List.of(
                new MachineStarts(MACHINE, Set.of(new Attempt(JOB, 0, PREVIOUS_LEADER_ATTEMPT + 1))),
                new MachineStarts(OTHER_MACHINE, Set.of(new Attempt(JOB, 0, PREVIOUS_LEADER_ATTEMPT)))));
        resolveUnaccountedTasks();
        assertEquals(machine, job.allocation(0).machine());
    }

    // Guards against exceeding a quota: the task of a logged start may have been released before the start was sent.
    @Test
    void resendsInheritedStartOnlyWithinQuota() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        agents.allocateInheritedStarts(job);
        cluster.resolveUnaccounted(job);
        agents.resendInheritedStarts(unused -> false);
        assertFalse(respondTo(0).contains("run"));
        assertNotNull(job.allocation(0), "attempt may be running nevertheless");
        agents.resendInheritedStarts(unused -> true);
        assertTrue(respondTo(0).contains("run"));
    }

    private String respondTo(long attempt) {
        ReceivedHeartbeat received = agents.receive(heartbeat(MACHINE, "a", attempt));
        return HeartbeatResponseCodec.encode(agents.respond(received)).toString();
    }

    // Guards against fencing a machine only because its agent refuses the start for lack of capacity.
    @Test
    void resendsInheritedStartOnlyWhenMachineHasCapacity() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        Job other = addJob("j-000002", 8);
        Allocation occupying = cluster.allocate(other, 0, machine, cluster.nextAttempt());
        resolveUnaccountedTasks();
        String response = respondTo(0);
        assertTrue(response.contains("j-000002"));
        assertFalse(response.contains(JOB), "agent would refuse the start");
        cluster.release(occupying);
        assertTrue(respondTo(0).contains(JOB));
    }

    // A leader begins a later attempt only once the earlier ones can no longer be started.
    @Test
    void dropsInheritedStartOfTaskWithLaterAttempt() {
        addMachine(OTHER_MACHINE, "a");
        inherit(OTHER_MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT + 1));
        agents.reportUnfencedAttempts();
        cluster.release(job.allocation(0));
        Allocation reallocated =
                cluster.allocate(job, 0, cluster.findMachine(OTHER_MACHINE).orElseThrow(), PREVIOUS_LEADER_ATTEMPT);
        assertFalse(agents.mayDirectCallStart(reallocated));
    }

    // Guards against ran_twice by a start that the log does not show, and that may be executed after its attempt ended.
    @Test
    void keepsAllocationOfPreviousLeaderWhileUnknownStartsMayBeOutstanding() {
        agents.inheritStarts(List.of());
        machine.fencing().markUnknownStartsPossible();
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT));
        Allocation allocation = job.allocation(0);
        agents.allAttemptsLost(machine);
        assertEquals(allocation, job.allocation(0));
        cluster.remove(machine);
        assertNull(job.allocation(0));
    }

    // Guards against ran_twice: the next leader must be able to read a start in the log before it can be executed late.
    @Test
    void sendsStartInDirectCallOnceLogHasStoredIt() {
        advance(0);
        cluster.resolveUnaccounted(job);
        stateService.setOutage(true);
        Allocation allocation = cluster.allocate(job, 0, machine, cluster.nextAttempt());
        agents.requestStart(allocation);
        advance(1);
        assertEquals(List.of(), directCalls, "log has not stored the start");
        assertTrue(respondTo(0).contains("run"), "response is never executed late");
        stateService.setOutage(false);
        advance(HEARTBEAT_MS);
        assertEquals(1, directCalls.size());
    }

    private void addUnresponsiveMachine() {
        Machine unresponsive = new Machine(OTHER_MACHINE, TYPE, "a", false, now, now);
        unresponsive.markHasRunTasks();
        cluster.add(unresponsive);
    }

    // Guards against ran_twice: a later attempt of the task may be running on an unresponsive machine.
    @ParameterizedTest
    @ValueSource(strings = {"stopped", "error", "no_room", "busy", "unknown"})
    void keepsTaskOfEndedAttemptUnaccountedWhileMachineIsUnresponsive(String exitCause) {
        addUnresponsiveMachine();
        agents.inheritStarts(List.of());
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT, "ended", exitCause));
        assertNull(job.allocation(0));
        assertEquals("{0, 1}", job.unaccounted().toString());
        assertEquals("{2}", job.pending().toString());
        agents.receive(heartbeat(MACHINE, "a", 0));
        agents.allAttemptsLost(machine);
        assertEquals("{0, 1}", job.unaccounted().toString());
        assertEquals("{2}", job.pending().toString());
    }

    // Same as above with an inherited start, which does not bind the task before the job is accounted for.
    @ParameterizedTest
    @ValueSource(strings = {"stopped", "no_room"})
    void keepsTaskWithInheritedStartUnaccountedWhileMachineIsUnresponsive(String exitCause) {
        addUnresponsiveMachine();
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT, "ended", exitCause));
        agents.receive(heartbeat(MACHINE, "a", 0));
        agents.allAttemptsLost(machine);
        assertEquals("{0, 1}", job.unaccounted().toString());
        assertEquals("{2}", job.pending().toString());
    }

    // The only case in which a task is released while its job has unaccounted tasks: a current heartbeat has shown the
    // task on this machine, so no other machine runs it. The other tasks of the job stay unaccounted.
    @Test
    void returnsObservedTaskToPendingOnceItsAttemptEnds() {
        addUnresponsiveMachine();
        agents.inheritStarts(List.of());
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT));
        assertEquals(machine, job.allocation(0).machine());
        assertEquals("{1}", job.unaccounted().toString());
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT, "ended", "stopped"));
        assertEquals("{1}", job.unaccounted().toString());
        assertEquals("{0, 2}", job.pending().toString());
    }

    /** Inherits the log of a previous leader that contains a start of a job that is not open. */
    private void inheritStartOfEndedJob() {
        stateService.setValue(
                "sent/0", Json.object().put(START_OF_ENDED_JOB.task() + "/" + START_OF_ENDED_JOB.number(), MACHINE));
        store.listPrefix(StartLog.PREFIX, result -> {
            List<KeyValue> pages = ((ListResult.Listed) result).listing().entries();
            agents.inheritStarts(startLog.load(pages).machines());
        });
        advance(0);
    }

    /** Returns whether the log still contains a start after it has dropped those that can no longer be executed. */
    private boolean isInLogAfterCleanup(Attempt start) {
        for (long passed = 0; passed < 4 * HEARTBEAT_MS; passed += STEP_MS) {
            advance(STEP_MS);
        }
        JsonNode page = stateService.value("sent/0");
        return page != null && page.has(start.task() + "/" + start.number());
    }

    // Guards against ran_cancelled: the next leader dropped the start of a cancelled job.
    @Test
    void fencesMachineAndKeepsStartOfCancelledJobInLog() {
        inheritStartOfEndedJob();
        assertTrue(isInLogAfterCleanup(START_OF_ENDED_JOB), "terminal state of the job is not looked up yet");
        assertEquals(0, machine.fencing().cancelledStartCount());
        pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(CANCELLED);
        assertEquals(1, machine.fencing().cancelledStartCount());
        assertTrue(isInLogAfterCleanup(START_OF_ENDED_JOB), "next leader must inherit the start");
    }

    // Every start must eventually be dropped; a completed task is not started on another machine.
    @Test
    void dropsStartOfCompletedJob() {
        inheritStartOfEndedJob();
        pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(new EndedJobs.Outcome.Completed());
        assertEquals(0, machine.fencing().cancelledStartCount());
        assertFalse(isInLogAfterCleanup(START_OF_ENDED_JOB));
    }

    // Guards against ran_cancelled: the job was cancelled after the failover and before the recovery was complete.
    @Test
    void fencesMachineIfJobIsCancelledBeforeTasksAreAccountedFor() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        cluster.terminate(job);
        agents.reportUnfencedAttempts();
        pendingLookUps.remove(JOB).accept(CANCELLED);
        assertEquals(1, machine.fencing().cancelledStartCount());
    }

    @Test
    void dropsStartOfCancelledJobFromLogOnceMachineIsRemoved() {
        inheritStartOfEndedJob();
        cluster.remove(machine);
        agents.machineRemoved(machine);
        pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(CANCELLED);
        assertFalse(isInLogAfterCleanup(START_OF_ENDED_JOB));
    }

    // Guards against ran_cancelled: another allocation of the job remained, so the machine of the start was not fenced.
    @Test
    void fencesMachineIfJobIsCancelledWhileOtherAllocationRemains() {
        Machine other = addMachine(OTHER_MACHINE, "a");
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        cluster.allocate(job, 1, other, PREVIOUS_LEADER_ATTEMPT).recordPhase(Allocation.Phase.RUNNING, now);
        cluster.terminate(job);
        agents.reportUnfencedAttempts();
        pendingLookUps.remove(JOB).accept(CANCELLED);
        assertTrue(
                LateStartsOfCancelledTasks.firstCancellationMs(machine).isPresent(),
                "inherited start may run the cancelled task at any time");
    }

    // Guards against ran_cancelled: the duration of the look-up counts towards the cancel limit.
    @Test
    void measuresCancellationLimitFromCancellationTime() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        cluster.terminate(job);
        long cancelledAt = now;
        agents.reportUnfencedAttempts();
        advance(LOOK_UP_DURATION_MS);
        pendingLookUps.remove(JOB).accept(new EndedJobs.Outcome.Cancelled(OptionalLong.of(cancelledAt)));
        assertEquals(
                cancelledAt,
                LateStartsOfCancelledTasks.firstCancellationMs(machine).orElseThrow());
    }

    // Guards against a stack overflow in the event loop's thread: look-ups of cached jobs complete immediately, and
    // each of them starts the next one.
    @Test
    void doesNotRecurseWhenLookUpsCompleteImmediately() throws InterruptedException {
        int jobs = 5_000;
        agents = newAgentManager((id, callback) -> {
            if (id.equals(START_OF_ENDED_JOB.job())) {
                pendingLookUps.put(id, callback);
            } else {
                callback.accept(new EndedJobs.Outcome.Completed());
            }
        });
        Set<Attempt> starts = new LinkedHashSet<>(Set.of(START_OF_ENDED_JOB));
        for (int i = 0; i < jobs; i++) {
            starts.add(new Attempt("j-1" + i, 0, PREVIOUS_LEADER_ATTEMPT));
        }
        agents.inheritStarts(List.of(new MachineStarts(MACHINE, starts)));
        AtomicReference<Throwable> thrown = new AtomicReference<>();
        Thread eventLoopThread = new Thread(
                null,
                () -> pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(new EndedJobs.Outcome.Completed()),
                "owner",
                EVENT_LOOP_STACK_BYTES);
        eventLoopThread.setUncaughtExceptionHandler((thread, throwable) -> thrown.set(throwable));
        eventLoopThread.start();
        eventLoopThread.join();
        assertNull(thrown.get());
    }

    // Every start must eventually be dropped. It is kept while its job is open: the job may be cancelled, and then even
    // a late start of a completed task would run a cancelled task.
    @Test
    void dropsUnansweredStartOfCompletedTaskFromLogOnceJobIsCompleted() {
        advance(0);
        cluster.resolveUnaccounted(job);
        Allocation allocation = cluster.allocate(job, 0, machine, cluster.nextAttempt());
        agents.requestStart(allocation);
        advance(1);
        advance(HEARTBEAT_MS);
        assertEquals(1, directCalls.size());
        endCall(directCalls.get(0), Reply.unanswered());
        Attempt start = new Attempt(JOB, 0, allocation.attempt());
        respondTo(allocation.attempt());
        agents.receive(heartbeat(MACHINE, "a", allocation.attempt(), "ended", "done"));
        assertTrue(job.isCompleted(0));
        assertNull(job.allocation(0));
        agents.reportUnfencedAttempts();
        assertTrue(isInLogAfterCleanup(start));
        cluster.markCompleted(job, 1);
        cluster.markCompleted(job, 2);
        cluster.terminate(job);
        agents.reportUnfencedAttempts();
        pendingLookUps.remove(JOB).accept(new EndedJobs.Outcome.Completed());
        assertFalse(isInLogAfterCleanup(start));
    }

    private void endCall(Effect.Send call, Reply reply) {
        deliver(eventLoop.processBatch(
                List.of(new LoopEvent.CallEnded(call.call(), reply)), new ClockReading(now, now)));
    }
}
