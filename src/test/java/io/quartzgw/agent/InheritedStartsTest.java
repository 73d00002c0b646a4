package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.eventloop.ClockReading;
import io.quartzgw.eventloop.Command;
import io.quartzgw.eventloop.Effect;
import io.quartzgw.eventloop.EventLoop;
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
import io.quartzgw.scheduling.CancelledTasks;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.JobSpecs;
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

/** What a leader does with the starts of former leaders, and when its own may leave in direct calls. */
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
    /** When the job was cancelled is not known. */
    private static final EndedJobs.End CANCELLED = new EndedJobs.End.Cancelled(OptionalLong.empty());
    /** As in {@code ControllerProcess}. */
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
    /** The look-ups of ended jobs, with what takes their result. */
    private final Map<String, Consumer<EndedJobs.End>> pendingLookUps = new HashMap<>();

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
                JobSpecs.named(id)
                        .team("team")
                        .shape(JobShape.ARRAY)
                        .tasks(3)
                        .demand(cpus, 0, 4)
                        .spec(),
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
        public void taskFinished(Job job, int index) {}

        @Override
        public void recordNeeded(Machine machine) {}

        @Override
        public void recordNeeded(Job job, int index) {}
    }

    private void advance(long ms) {
        now += ms;
        deliver(eventLoop.processBatch(List.of(), new ClockReading(now, now)));
    }

    /** The state service replies at once; direct calls to agents stay in flight. */
    private void deliver(List<Effect> initial) {
        List<Effect> effects = initial;
        while (!effects.isEmpty()) {
            List<Command> replies = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                if (send.request().path().equals("/orders")) {
                    directCalls.add(send);
                } else {
                    stateService.handle(
                            send.request(), now, reply -> replies.add(new Command.CallEnded(send.call(), reply)));
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
        agents.permitInheritedStarts(unused -> true);
    }

    // Guards against ran_twice: the task was placed anew as soon as no machine ran it.
    @Test
    void allocatesUnaccountedTaskToMachineOfInheritedStart() {
        assertEquals(1, inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT));
        resolveUnaccountedTasks();
        Allocation allocation = job.allocation(0);
        assertEquals(PREVIOUS_LEADER_ATTEMPT, allocation.attempt());
        assertTrue(allocation.isLost());
        assertTrue(agents.isStartOutstanding(allocation));
        assertEquals("{1, 2}", job.pending().toString());
    }

    @Test
    void ignoresInheritedStartToRemovedMachine() {
        assertEquals(0, inherit("i-9", 0, PREVIOUS_LEADER_ATTEMPT));
        resolveUnaccountedTasks();
        assertEquals("{0, 1, 2}", job.pending().toString());
    }

    // A machine is marked as used before a start is sent to it.
    @Test
    void ignoresInheritedStartToUnusedMachine() {
        cluster.add(new Machine(OTHER_MACHINE, TYPE, "a", false, now, now));
        assertEquals(0, inherit(OTHER_MACHINE, 0, PREVIOUS_LEADER_ATTEMPT));
    }

    // Guards against tasks in the wrong place: such a start was announced, but never sent.
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

    // Guards against a quota that is exceeded: the task of an announced start may have been given up before it left.
    @Test
    void resendsInheritedStartOnlyWithinQuota() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        agents.allocateInheritedStarts(job);
        cluster.resolveUnaccounted(job);
        agents.permitInheritedStarts(unused -> false);
        assertFalse(respondTo(0).contains("run"));
        assertNotNull(job.allocation(0), "it may run all the same");
        agents.permitInheritedStarts(unused -> true);
        assertTrue(respondTo(0).contains("run"));
    }

    private String respondTo(long attempt) {
        ReceivedHeartbeat received = agents.receive(heartbeat(MACHINE, "a", attempt));
        return HeartbeatResponseCodec.encode(agents.respond(received)).toString();
    }

    // Guards against a machine that is fenced only since its agent refuses the start for lack of room.
    @Test
    void resendsInheritedStartOnlyWhenMachineHasCapacity() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        Job other = addJob("j-000002", 8);
        Allocation inTheWay = cluster.allocate(other, 0, machine, cluster.nextAttempt());
        resolveUnaccountedTasks();
        String response = respondTo(0);
        assertTrue(response.contains("j-000002"));
        assertFalse(response.contains(JOB), "the agent would refuse it");
        cluster.release(inTheWay);
        assertTrue(respondTo(0).contains(JOB));
    }

    // A later attempt is begun only when the earlier ones can't be started any more.
    @Test
    void dropsInheritedStartOfTaskWithLaterAttempt() {
        addMachine(OTHER_MACHINE, "a");
        inherit(OTHER_MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT + 1));
        agents.reportUnfencedAttempts();
        cluster.release(job.allocation(0));
        Allocation again =
                cluster.allocate(job, 0, cluster.findMachine(OTHER_MACHINE).orElseThrow(), PREVIOUS_LEADER_ATTEMPT);
        assertFalse(agents.isStartOutstanding(again));
    }

    // Guards against ran_twice by a start that the log can't tell: its attempt may end before.
    @Test
    void keepsAllocationOfPreviousLeaderWhileUnknownStartsMayBeOutstanding() {
        agents.inheritStarts(List.of());
        machine.fencing().expectUnknownStarts();
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT));
        Allocation allocation = job.allocation(0);
        agents.allTasksLost(machine);
        assertEquals(allocation, job.allocation(0));
        cluster.remove(machine);
        assertNull(job.allocation(0));
    }

    // Guards against ran_twice: a successor has to know of a start before it can be late.
    @Test
    void sendsStartInDirectCallOnceLogHasStoredIt() {
        advance(0);
        cluster.resolveUnaccounted(job);
        stateService.setOutage(true);
        Allocation allocation = cluster.allocate(job, 0, machine, cluster.nextAttempt());
        agents.requestStart(allocation);
        advance(1);
        assertEquals(List.of(), directCalls, "the log has not stored it");
        assertTrue(respondTo(0).contains("run"), "a response is never late");
        stateService.setOutage(false);
        advance(HEARTBEAT_MS);
        assertEquals(1, directCalls.size());
    }

    private void addUnresponsiveMachine() {
        Machine silent = new Machine(OTHER_MACHINE, TYPE, "a", false, now, now);
        silent.markHasRunTasks();
        cluster.add(silent);
    }

    // Guards against ran_twice: a later attempt of the task may run on a machine that is silent.
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
        agents.allTasksLost(machine);
        assertEquals("{0, 1}", job.unaccounted().toString());
        assertEquals("{2}", job.pending().toString());
    }

    // The same where the start of the former attempt was inherited: it binds nothing before the job is accounted for.
    @ParameterizedTest
    @ValueSource(strings = {"stopped", "no_room"})
    void keepsTaskWithInheritedStartUnaccountedWhileMachineIsUnresponsive(String exitCause) {
        addUnresponsiveMachine();
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        agents.receive(heartbeat(MACHINE, "a", PREVIOUS_LEADER_ATTEMPT, "ended", exitCause));
        agents.receive(heartbeat(MACHINE, "a", 0));
        agents.allTasksLost(machine);
        assertEquals("{0, 1}", job.unaccounted().toString());
        assertEquals("{2}", job.pending().toString());
    }

    // The one release before the job is accounted for: a current heartbeat has shown the task on this machine, so that
    // no other one has it. Its siblings stay unaccounted.
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

    /** Takes over a log of a former leader that has the start of a job which is not open. */
    private void inheritStartOfEndedJob() {
        stateService.setValue(
                "sent/0", Json.object().put(START_OF_ENDED_JOB.task() + "/" + START_OF_ENDED_JOB.number(), MACHINE));
        store.listPrefix(StartLog.PREFIX, result -> {
            List<KeyValue> pages = ((ListResult.Listed) result).listing().entries();
            agents.inheritStarts(startLog.load(pages).machines());
        });
        advance(0);
    }

    /** Returns whether the log keeps a start when the void ones have left it. */
    private boolean isInLogAfterCleanup(Attempt start) {
        for (long passed = 0; passed < 4 * HEARTBEAT_MS; passed += STEP_MS) {
            advance(STEP_MS);
        }
        JsonNode page = stateService.value("sent/0");
        return page != null && page.has(start.task() + "/" + start.number());
    }

    // Guards against ran_cancelled: the start of a cancelled job was dropped by the next leader.
    @Test
    void fencesMachineAndKeepsStartOfCancelledJobInLog() {
        inheritStartOfEndedJob();
        assertTrue(isInLogAfterCleanup(START_OF_ENDED_JOB), "while it is not known how the job has ended");
        assertEquals(0, machine.fencing().cancelledStarts());
        pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(CANCELLED);
        assertEquals(1, machine.fencing().cancelledStarts());
        assertTrue(isInLogAfterCleanup(START_OF_ENDED_JOB), "the next leader has to know it too");
    }

    // Each start is released in the end: a task that is done is not started elsewhere.
    @Test
    void dropsStartOfCompletedJob() {
        inheritStartOfEndedJob();
        pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(new EndedJobs.End.Done());
        assertEquals(0, machine.fencing().cancelledStarts());
        assertFalse(isInLogAfterCleanup(START_OF_ENDED_JOB));
    }

    // Guards against ran_cancelled: the job was cancelled between the failover and the end of the recovery.
    @Test
    void fencesMachineIfJobIsCancelledBeforeTasksAreAccountedFor() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        cluster.terminate(job);
        agents.reportUnfencedAttempts();
        pendingLookUps.remove(JOB).accept(CANCELLED);
        assertEquals(1, machine.fencing().cancelledStarts());
    }

    @Test
    void dropsStartOfCancelledJobFromLogOnceMachineIsRemoved() {
        inheritStartOfEndedJob();
        cluster.remove(machine);
        agents.forget(machine);
        pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(CANCELLED);
        assertFalse(isInLogAfterCleanup(START_OF_ENDED_JOB));
    }

    // Guards against ran_cancelled: another task of the job holds the job back, and the start's machine is not fenced.
    @Test
    void fencesMachineIfJobIsCancelledWhileOtherAllocationRemains() {
        Machine other = addMachine(OTHER_MACHINE, "a");
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        cluster.allocate(job, 1, other, PREVIOUS_LEADER_ATTEMPT).recordPhase(Allocation.Phase.RUNNING, now);
        cluster.terminate(job);
        agents.reportUnfencedAttempts();
        pendingLookUps.remove(JOB).accept(CANCELLED);
        assertTrue(
                CancelledTasks.firstCancellationMs(machine).isPresent(),
                "the start may run the cancelled task at any time");
    }

    // Guards against ran_cancelled: the time that the look-up takes counts, too.
    @Test
    void measuresCancellationLimitFromCancellationTime() {
        inherit(MACHINE, 0, PREVIOUS_LEADER_ATTEMPT);
        cluster.terminate(job);
        long cancelledAt = now;
        agents.reportUnfencedAttempts();
        advance(LOOK_UP_DURATION_MS);
        pendingLookUps.remove(JOB).accept(new EndedJobs.End.Cancelled(OptionalLong.of(cancelledAt)));
        assertEquals(cancelledAt, CancelledTasks.firstCancellationMs(machine).orElseThrow());
    }

    // Guards against the end of the event loop's thread: the look-ups of jobs that are cached answer at once.
    @Test
    void doesNotRecurseWhenLookUpsCompleteImmediately() throws InterruptedException {
        int jobs = 5_000;
        agents = newAgentManager((id, onEnd) -> {
            if (id.equals(START_OF_ENDED_JOB.job())) {
                pendingLookUps.put(id, onEnd);
            } else {
                onEnd.accept(new EndedJobs.End.Done());
            }
        });
        Set<Attempt> starts = new LinkedHashSet<>(Set.of(START_OF_ENDED_JOB));
        for (int i = 0; i < jobs; i++) {
            starts.add(new Attempt("j-1" + i, 0, PREVIOUS_LEADER_ATTEMPT));
        }
        agents.inheritStarts(List.of(new MachineStarts(MACHINE, starts)));
        AtomicReference<Throwable> thrown = new AtomicReference<>();
        Thread owner = new Thread(
                null,
                () -> pendingLookUps.remove(START_OF_ENDED_JOB.job()).accept(new EndedJobs.End.Done()),
                "owner",
                EVENT_LOOP_STACK_BYTES);
        owner.setUncaughtExceptionHandler((thread, throwable) -> thrown.set(throwable));
        owner.start();
        owner.join();
        assertNull(thrown.get());
    }

    // Each start is released in the end. While its job is open, that may be cancelled, and then a late start of a task
    // that is done counts as well.
    @Test
    void dropsUnansweredStartOfCompletedTaskFromLogOnceJobIsCompleted() {
        advance(0);
        cluster.resolveUnaccounted(job);
        Allocation allocation = cluster.allocate(job, 0, machine, cluster.nextAttempt());
        agents.requestStart(allocation);
        advance(1);
        advance(HEARTBEAT_MS);
        assertEquals(1, directCalls.size());
        endCall(directCalls.get(0), Reply.lost());
        Attempt start = new Attempt(JOB, 0, allocation.attempt());
        respondTo(allocation.attempt());
        agents.receive(heartbeat(MACHINE, "a", allocation.attempt(), "ended", "done"));
        assertTrue(job.isDone(0));
        assertNull(job.allocation(0));
        agents.reportUnfencedAttempts();
        assertTrue(isInLogAfterCleanup(start));
        cluster.markDone(job, 1);
        cluster.markDone(job, 2);
        cluster.terminate(job);
        agents.reportUnfencedAttempts();
        pendingLookUps.remove(JOB).accept(new EndedJobs.End.Done());
        assertFalse(isInLogAfterCleanup(start));
    }

    private void endCall(Effect.Send call, Reply reply) {
        deliver(eventLoop.processBatch(List.of(new Command.CallEnded(call.call(), reply)), new ClockReading(now, now)));
    }
}
