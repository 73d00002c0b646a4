package io.quartzgw.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
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
import io.quartzgw.leadership.LeaderTerm;
import io.quartzgw.leadership.Leadership;
import io.quartzgw.liveness.AgentTiming;
import io.quartzgw.model.JobShape;
import io.quartzgw.model.MachineType;
import io.quartzgw.model.Resources;
import io.quartzgw.scheduling.Allocation;
import io.quartzgw.scheduling.ClusterState;
import io.quartzgw.scheduling.Job;
import io.quartzgw.scheduling.Machine;
import io.quartzgw.scheduling.StopReason;
import io.quartzgw.simulation.Elections;
import io.quartzgw.simulation.JobSpecs;
import io.quartzgw.simulation.SimulatedStore;
import io.quartzgw.store.StoreClient;
import io.quartzgw.store.StoreLimits;
import io.quartzgw.submission.OpenJob;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A start that was ordered directly: while the call is under way, when its answer is lost, and when the attempt ends
 * meanwhile. Copies of the start may reach the worker in the direct order and in responses to its reports.
 */
class AgentManagerTest {
    private static final Endpoint STATE = new Endpoint("10.2.0.1", 1);
    private static final MachineType TYPE =
            new MachineType("t", new Resources(8, 0, 32), 40, 1, 1, 0.3, 10, List.of("a"));

    private final EventLoop kernel = new EventLoop(1);
    private final SimulatedStore service = new SimulatedStore();
    private final StoreClient store = new StoreClient(kernel, STATE, new StoreLimits(100_000, 100_000, 8192, 16));
    private final Leadership leadership = Elections.candidate(kernel, store);
    private long now;
    private long counter;
    private ClusterState cluster;
    private AgentManager workers;
    private Machine machine;
    private Allocation booking;
    private final List<Effect.Send> callsUnderWay = new ArrayList<>();

    @BeforeEach
    void startOneTaskWhoseOrderIsUnderWay() {
        Elections.elect(leadership, this::pass);
        cluster = new ClusterState(kernel, 1);
        CloudClient cloud = new CloudClient(kernel, STATE, new CloudLimits(4, 5_000));
        workers = new AgentManager(
                kernel,
                new LeaderTerm(leadership),
                cluster,
                new MachineCatalog(kernel, store, cloud, () -> true),
                new AgentTiming(2_500, 16_000, 36_000),
                10,
                id -> false,
                new NoRecords());
        workers.beginReconciling();
        machine = new Machine("i-1", TYPE, "a", false, now, now);
        machine.markHasRunTasks();
        cluster.add(machine);
        report("");
        booking = book("j-000001");
        workers.requestStart(booking);
        workers.sendPendingCommands();
        pass(0);
        assertEquals(1, callsUnderWay.size());
    }

    private Allocation book(String id) {
        Job job = cluster.add(new OpenJob(
                JobSpecs.named(id)
                        .team("team")
                        .shape(JobShape.SERVICE)
                        .demand(2, 0, 4)
                        .spec(),
                1,
                0));
        job.recordedStartLimit(1);
        return cluster.allocate(job, 0, machine, cluster.nextAttempt());
    }

    private static final class NoRecords implements AgentManager.Listener {
        @Override
        public void taskFinished(Job job, int index) {}

        @Override
        public void recordNeeded(Machine machine) {}

        @Override
        public void recordNeeded(Job job, int index) {}
    }

    /** Lets time pass; the state service answers, direct orders stay under way. */
    private void pass(long ms) {
        now += ms;
        carry(kernel.processBatch(List.of(), new ClockReading(now, now)));
    }

    private void carry(List<Effect> first) {
        List<Effect> effects = first;
        while (!effects.isEmpty()) {
            List<Command> ends = new ArrayList<>();
            for (Effect effect : effects) {
                Effect.Send send = (Effect.Send) effect;
                if (send.request().path().equals("/orders")) {
                    callsUnderWay.add(send);
                } else {
                    service.handle(send.request(), now, reply -> ends.add(new Command.CallEnded(send.call(), reply)));
                }
            }
            effects = ends.isEmpty() ? List.of() : kernel.processBatch(ends, new ClockReading(++now, now));
        }
    }

    /** Ends the direct call under way. */
    private void endCall(Reply reply) {
        Command ended = new Command.CallEnded(callsUnderWay.remove(0).call(), reply);
        carry(kernel.processBatch(List.of(ended), new ClockReading(++now, now)));
    }

    /** The orders of the direct call under way. */
    private List<String> directOrders() {
        return verbs(Json.readOrNull(callsUnderWay.get(0).request().body()));
    }

    private static List<String> verbs(JsonNode message) {
        List<String> verbs = new ArrayList<>();
        message.path("orders").forEach(order -> verbs.add(order.path("verb").asText()));
        return verbs;
    }

    /** Has the worker report, with what it says of the attempt, and returns the orders of the answer. */
    private List<String> report(String phase) {
        Heartbeat heartbeat = HeartbeatCodec.decode(Json.write(listing(phase))).orElseThrow();
        return verbs(HeartbeatResponseCodec.encode(workers.receive(heartbeat)));
    }

    private ObjectNode listing(String phase) {
        ObjectNode report = Json.object()
                .put("host", "i-1")
                .put("address", "10.1.0.2:9000")
                .put("host_type", "t")
                .put("yard", "a")
                .put("loaner", false)
                .put("tenure", 1)
                .put("counter", ++counter)
                .put("baton", leadership.term());
        var tasks = report.putArray("shards");
        if (!phase.isEmpty()) {
            tasks.addObject()
                    .put("shard", "j-000001/0")
                    .put("try_no", booking.attempt())
                    .put("phase", phase)
                    .put("exit_cause", "stopped");
        }
        return report;
    }

    private Reply refused() {
        return new Reply(409, Json.write(listing("")));
    }

    private Reply executed(String phase) {
        return new Reply(200, Json.write(listing(phase)));
    }

    @Test
    void theSameAttemptIsOfferedAgainWithTheNextReport() {
        endCall(Reply.lost());
        assertEquals(List.of("run"), report(""));
    }

    // Guards the task that is placed elsewhere next: after a removal the copy of the start that is still under way
    // would run the attempt again.
    @Test
    void anEndedAttemptIsNotRemovedWhileACopyOfItsStartMayStillArrive() {
        endCall(Reply.lost());
        report("running");
        workers.requestStop(booking, 0, StopReason.PREEMPTED);
        assertEquals(List.of("kill"), report("running"));
        assertFalse(report("ended").contains("reap"));
        assertTrue(machine.empty(), "its place is free all the same");
    }

    // Guards the same where the call is still under way when the end is reported: a copy in a response had started the
    // attempt, and how the call ends is known only later.
    @Test
    void anEndedAttemptIsNotRemovedWhileTheDirectStartIsUnderWay() {
        report("running");
        workers.requestStop(booking, 0, StopReason.MACHINE_RECLAIMED);
        assertEquals(List.of("kill"), report("running"));
        assertFalse(report("ended").contains("reap"), "the call is under way");
        endCall(Reply.lost());
        assertFalse(report("ended").contains("reap"), "the call was not answered");
    }

    @Test
    void anEndedAttemptIsRemovedOnceTheDirectStartIsAnswered() {
        report("running");
        workers.requestStop(booking, 0, StopReason.MACHINE_RECLAIMED);
        report("running");
        assertFalse(report("ended").contains("reap"), "the call is under way");
        endCall(executed("ended"));
        assertEquals(List.of("reap"), report("ended"));
    }

    // Guards against a response that is on its way while a direct order overtakes it: the removal would come first.
    @Test
    void aDirectOrderRemovesNothingThatAResponseOnItsWayMayStart() {
        endCall(refused());
        assertEquals(List.of("run"), report(""));
        workers.contact(machine);
        pass(0);
        endCall(executed("ended"));
        workers.requestStart(book("j-000002"));
        workers.sendPendingCommands();
        pass(0);
        assertFalse(directOrders().contains("reap"), "the response may still be executed");
        assertEquals(List.of("reap"), report("ended"), "the response was executed, or dropped");
    }

    // Guards the hold of a silent machine: its tasks go elsewhere when it is over, but for those that an order may
    // start.
    @Test
    void aStartMayArriveLateUntilItsCallIsAnswered() {
        assertTrue(workers.startMayArriveLate(booking), "under way");
        endCall(refused());
        assertFalse(workers.startMayArriveLate(booking), "refused");
        workers.requestStart(booking);
        workers.sendPendingCommands();
        pass(0);
        endCall(Reply.lost());
        assertTrue(workers.startMayArriveLate(booking), "not answered");
    }

    // Guards a task that was seen running before its machine was started again: the order that was not answered
    // may reach the new worker, so the task goes nowhere else.
    @Test
    void aSeenAttemptKeepsItsPlaceWhenItsWorkerIsReplacedWhileAnOrderMayArrive() {
        endCall(Reply.lost());
        report("running");
        workers.contact(machine);
        pass(0);
        counter = 0;
        endCall(executed(""));
        assertSame(booking, machine.allocation(booking.task()));
        assertEquals(List.of("run"), report(""), "the new worker is offered the same attempt");
    }

    // Guards against a place that is never freed: the only copy of the start was in a response that the worker dropped.
    @Test
    void aStoppedAttemptWhoseStartCameToNothingFreesItsPlace() {
        endCall(refused());
        assertEquals(List.of("run"), report(""));
        workers.requestStop(booking, 0, StopReason.PREEMPTED);
        report("");
        assertTrue(machine.empty(), "nothing can start the attempt any more");
    }

    // Guards a stop that overtakes the start: the attempt is made known and ended, so that the copy has no effect.
    @Test
    void anAttemptThatWasNeverSeenIsStartedAndStoppedInOneAnswer() {
        endCall(Reply.lost());
        workers.requestStop(booking, 0, StopReason.PREEMPTED);
        assertEquals(List.of("run", "kill"), report(""));
    }
}
