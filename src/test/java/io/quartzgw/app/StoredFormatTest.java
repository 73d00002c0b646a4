package io.quartzgw.app;

import static io.quartzgw.app.Literals.bytes;
import static io.quartzgw.app.Literals.cbor;
import static io.quartzgw.app.Literals.json;
import static io.quartzgw.app.Literals.merged;
import static io.quartzgw.app.Literals.with;
import static io.quartzgw.app.Literals.without;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quartzgw.http.Call;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Response;
import io.quartzgw.simulation.SimulatedAgent;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pins, as literals, what versions of the controller share: records in the state service, messages between controllers,
 * and the names under {@code /metrics}.
 *
 * <p>A new version starts on the old one's records and runs beside it during a rolling upgrade. A failure here after a
 * refactoring means that a cluster could not be upgraded. Only a new format version, which also reads the old one, adds
 * literals; it removes none that may still be stored. The tests use none of the controller's codecs.
 */
class StoredFormatTest {
    private static final String TYPES =
            """
            {"host_types":[{"name":"small","cpus":8.0,"gpus":4.0,"ram_gb":64.0,"cache_gb":40.0,"pull_gb_per_s":1.5,
              "hourly":1.25,"spot_price":0.5,"startup_s":10.0,"yards":["a","b"]}]}""";
    private static final String TERM = """
            {"term":41}""";
    private static final String LEADER = """
            {"member":"%s","process":%d,"term":41,"hold":1}""";

    private static final String ARRAY =
            """
            {"id":"j-000001","workload":"render","crew":"blue","shape":"array","urgency":"standard","shards":6,
             "cpus":2.0,"gpus":0.5,"ram_gb":1.5,"bundle":"img","pull_gb":1.0,"host_types":["small"],"yard":"a",
             "together":false,"scatter":false,"loaner":false,"runtime_guess_s":10.0,"snapshot_every_s":3.0,
             "snapshot_cost_s":0.25,"due_by_s":600.0,"accepted_ms":1799999999000}""";
    private static final String GANG =
            """
            {"id":"j-000002","workload":"train","crew":"blue","shape":"gang","urgency":"urgent","shards":2,
             "cpus":1.0,"gpus":0.0,"ram_gb":1.0,"bundle":"img","pull_gb":1.0,
             "together":true,"scatter":false,"loaner":false,"runtime_guess_s":100.0,"snapshot_every_s":0.0,
             "snapshot_cost_s":0.0,"accepted_ms":1799999999000}""";
    private static final String SERVICE =
            """
            {"id":"j-000003","workload":"serve","crew":"blue","shape":"daemon","urgency":"critical","shards":2,
             "cpus":1.0,"gpus":0.0,"ram_gb":1.0,"bundle":"img","pull_gb":1.0,
             "together":false,"scatter":true,"loaner":false,"runtime_guess_s":0.0,"snapshot_every_s":0.0,
             "snapshot_cost_s":0.0,"accepted_ms":1799999999000}""";
    private static final String SPOT =
            """
            {"id":"j-000004","workload":"scan","crew":"blue","shape":"array","urgency":"low","shards":1,
             "cpus":8.0,"gpus":0.0,"ram_gb":1.0,"bundle":"img","pull_gb":1.0,
             "together":false,"scatter":false,"loaner":true,"runtime_guess_s":100.0,"snapshot_every_s":0.0,
             "snapshot_cost_s":0.0,"accepted_ms":1799999999000}""";
    private static final String COMPLETED = """
            {"phase":"done","done":6}""";
    private static final String CANCELLED = """
            {"phase":"withdrawn","done":2}""";
    /** Task 1 is completed; task 3 and all later ones were never started. */
    private static final String PROGRESS = """
            {"j-000001/0":"Ag==","j-000001/started":3}""";

    private static final String MACHINES =
            """
            {"i-000001":["small","a",false,1799999990],"i-000002":["small","a",false,1799999991],
             "i-000003":["small","b",true,1799999992],"i-000004":["small","b",false,1799999993]}""";
    private static final String USED_MACHINES = """
            {"i-000001":"10.1.0.1:10001"}""";

    /** The message of a peer that has just started. */
    private static final String PEER_MESSAGE =
            """
            {"cancelled":{},"cancelled_whole":true,"writes_wanted":0.0,"member":"rig-1","sequence":1,"workers":0,
             "process":23,"up_ms":5000,"leading":0,"term":0,"store":true}""";
    /** The same as CBOR, byte for byte, with a cancelled job and as process 24. */
    private static final String PEER_MESSAGE_CBOR = "bf" // an object of indefinite length
            + "6963616e63656c6c6564" + "bf" + "686a2d303030303034" + "1905dc" + "ff" // cancelled: j-000004, 1500 ms ago
            + "6f63616e63656c6c65645f77686f6c65" + "f5" // cancelled_whole: true
            + "6d7772697465735f77616e746564" + "fb0000000000000000" // writes_wanted: 0.0
            + "666d656d626572" + "657269672d31" // member: rig-1
            + "6873657175656e6365" + "01" // sequence: 1
            + "67776f726b657273" + "00" // workers: 0
            + "6770726f63657373" + "1818" // process: 24
            + "6575705f6d73" + "191388" // up_ms: 5000
            + "676c656164696e67" + "00" // leading: 0
            + "647465726d" + "00" // term: 0
            + "6573746f7265" + "f5" // store: true
            + "ff";

    private static final Set<String> COUNTERS_AT_START = Set.of("failures", "store.requests", "store.writes");
    private static final Set<String> LEADER_COUNTERS = Set.of(
            "cloud.calls",
            "failures",
            "fleet.looks",
            "fleet.plans",
            "orders.calls",
            "orders.in_responses",
            "orders.sent",
            "placement.booked",
            "placement.jobs",
            "placement.looks",
            "placement.passes",
            "reports.current",
            "reports.read",
            "store.requests",
            "store.writes",
            "takeover.count",
            "takeover.ms",
            "takeover.silent");

    private final ControllerHarness harness = new ControllerHarness(TYPES);

    // ---- stored records: read

    @Test
    void redirectsAgentsToStoredLeaderAndWaitsForItsLease() {
        harness.storeRecords(Map.of("types", TYPES, "lead/term", TERM));
        harness.storeWithLease("lead/leader", LEADER.formatted("rig-1", 23));
        harness.start();
        harness.runFor(1_000);
        Response response = harness.heartbeat(harness.newAgent(1, "a", false));
        assertEquals(421, response.status());
        assertJson("{\"home_controller\":\"rig-1\"}", json(response.body()));
        harness.runUntil(() -> harness.reportsLeading(4137), "leads the next term after the record's lease");
    }

    @Test
    void takesOverAtOnceIfStoredLeaderProcessIsGone() {
        harness.storeRecords(Map.of("types", TYPES, "lead/term", TERM));
        harness.storeWithLease("lead/leader", LEADER.formatted("rig-1", 23));
        harness.peer = sent -> peerMessage("\"process\":24");
        harness.start();
        harness.runFor(1_500);
        assertTrue(harness.reportsLeading(4137), "the peer responds as another process");
    }

    @Test
    void leadsByOwnStoredLeaderRecordAndExtendsItsLease() {
        harness.storeRecords(Map.of("types", TYPES, "lead/term", TERM));
        harness.storeWithLease("lead/leader", LEADER.formatted("rig-0", 17));
        harness.start();
        harness.runFor(3_000);
        assertTrue(harness.reportsLeading(41), "won an election whose response was lost");
        assertTrue(harness.hasCalled("/holds/1/extend"));
    }

    @Test
    void reportsStoredTerminalStates() {
        harness.storeRecords(Map.of("types", TYPES, "over/j-000001", COMPLETED, "over/j-000002", CANCELLED));
        harness.start();
        harness.runFor(1_000);
        assertJson("{\"id\":\"j-000001\",\"phase\":\"done\",\"done\":6,\"running\":0}", harness.job("j-000001"));
        assertJson("{\"id\":\"j-000002\",\"phase\":\"withdrawn\",\"done\":2,\"running\":0}", harness.job("j-000002"));
    }

    @Test
    void usesStoredMachineTypesDuringCloudOutage() {
        harness.storeRecords(Map.of("types", TYPES));
        harness.cloudOutage = true;
        harness.start();
        harness.runFor(1_000);
        assertEquals(201, harness.submit(ARRAY).status());
        assertEquals(422, harness.submit(with(GANG, "\"cpus\":8.5")).status(), "more CPUs than the machine type has");
        assertEquals(422, harness.submit(with(GANG, "\"yard\":\"c\"")).status(), "no such machine type in the zone");
    }

    @Test
    void contactsUsedMachineAtStoredAddressBeforeRestartingItsTasks() {
        storeJobAndMachines(harness);
        harness.start();
        harness.addAgent(harness.newAgent(2, "a", false));
        harness.runFor(5_000);
        assertTrue(harness.reportsLeading(4137));
        assertFalse(harness.directCallsTo("10.1.0.1:10001").isEmpty(), "calls the stored address");
        assertEquals(Set.of("j-000001/3", "j-000001/4", "j-000001/5"), harness.startedOn.keySet());
        harness.addAgent(harness.newAgent(1, "a", false));
        harness.runFor(5_000);
        assertEquals(
                Set.of("j-000001/0", "j-000001/2", "j-000001/3", "j-000001/4", "j-000001/5"),
                harness.startedOn.keySet(),
                "machine 1 runs no task; task 1 is completed");
        harness.assertNoFailures();
    }

    @Test
    void startsStoredJobsOfEveryShapeAndPriorityOnAllowedMachines() {
        harness.storeRecords(Map.of("types", TYPES, "lead/term", TERM, "mach/0", MACHINES));
        harness.storeRecords(Map.of("open/j-000002", GANG, "open/j-000003", SERVICE, "open/j-000004", SPOT));
        harness.listedMachines = List.of(1, 2, 3, 4);
        harness.start();
        harness.addAgent(harness.newAgent(1, "a", false));
        harness.addAgent(harness.newAgent(2, "a", false));
        harness.addAgent(harness.newAgent(3, "b", true));
        harness.addAgent(harness.newAgent(4, "b", false));
        harness.runFor(8_000);
        assertEquals(
                Set.of("j-000002/0", "j-000002/1", "j-000003/0", "j-000003/1", "j-000004/0"),
                harness.startedOn.keySet());
        assertEquals("i-000003", harness.startedOn.get("j-000004/0"), "only the spot job uses the spot machine");
        assertNotEquals(harness.startedOn.get("j-000003/0"), harness.startedOn.get("j-000003/1"), "uses both zones");
        harness.assertNoFailures();
    }

    // ---- stored records: written

    @Test
    void storesTermLeaderAndMachineTypesOnElection() {
        harness.start();
        harness.runFor(2_000);
        assertJson("{\"term\":4096}", harness.stored("lead/term"));
        JsonNode leader = harness.stored("lead/leader");
        long hold = leader.path("hold").asLong();
        assertTrue(leader.path("hold").isIntegralNumber() && hold > 0);
        assertJson("{\"member\":\"rig-0\",\"process\":17,\"term\":4096,\"hold\":" + hold + "}", leader);
        assertJson(TYPES, harness.stored("types"));
    }

    @ParameterizedTest
    @ValueSource(strings = {ARRAY, GANG, SERVICE, SPOT})
    void storesAcceptedJobWithAcceptanceTime(String job) {
        harness.storeRecords(Map.of("types", TYPES));
        harness.start();
        harness.runFor(1_000);
        long acceptedAtMs = harness.wallClockMs();
        assertEquals(201, harness.submit(without(job, "accepted_ms")).status());
        assertJson(
                with(job, "\"accepted_ms\":" + acceptedAtMs),
                harness.stored("open/" + json(job).path("id").asText()));
    }

    @Test
    void movesCancelledJobToTerminalRecords() {
        harness.storeRecords(Map.of("types", TYPES, "open/j-000001", ARRAY));
        harness.start();
        harness.runFor(1_000);
        assertEquals(200, harness.cancel("j-000001").status());
        assertJson("{\"phase\":\"withdrawn\",\"done\":0}", harness.stored("over/j-000001"));
        assertNull(harness.stored("open/j-000001"));
    }

    @Test
    void updatesProgressPageUntilJobCompletes() {
        storeJobAndMachines(harness);
        harness.start();
        SimulatedAgent agent = harness.newAgent(2, "a", false);
        harness.addAgent(agent);
        harness.runUntil(
                () -> isJson("{\"j-000001/0\":\"Ag==\",\"j-000001/started\":6}", harness.stored("prog/0")), "started");
        harness.runUntil(
                () -> isJson("{\"j-000001/0\":\"Og==\",\"j-000001/started\":6}", harness.stored("prog/0")), "ended");
        harness.addAgent(harness.newAgent(1, "a", false));
        harness.runUntil(() -> harness.stored("over/j-000001") != null, "all tasks are completed");
        assertJson(COMPLETED, harness.stored("over/j-000001"));
        assertNull(harness.stored("open/j-000001"));
        harness.assertNoFailures();
    }

    @Test
    void updatesMachinePagesOnRentalAndFirstUse() {
        storeJobAndMachines(harness);
        harness.nextRental = 9;
        harness.start();
        long from = harness.wallClockMs() / 1_000;
        harness.runUntil(() -> harness.stored("mach/0").has("i-000009"), "the rental is stored");
        long rentedAt = harness.stored("mach/0").path("i-000009").path(3).asLong();
        assertTrue(rentedAt > from && rentedAt <= harness.wallClockMs() / 1_000 + 1, "in whole seconds, rounded up");
        String rented = "{\"i-000009\":[\"small\",\"a\",false," + rentedAt + ",8.0,4.0,64.0]}";
        assertJson(merged(MACHINES, rented), harness.stored("mach/0"));
        assertJson(USED_MACHINES, harness.stored("used/0"));
        harness.addAgent(harness.newAgent(9, "a", false));
        harness.runUntil(() -> harness.stored("used/0").has("i-000009"), "the use is stored");
        assertJson(merged(USED_MACHINES, "{\"i-000009\":\"10.1.0.1:10009\"}"), harness.stored("used/0"));
        harness.runUntil(() -> harness.hasStartOn("i-000009"), "started after the use is stored");
    }

    // ---- messages between controllers: sent

    @Test
    void firstPeerMessageIdentifiesController() {
        harness.start();
        Call sent = harness.peerMessages.get(0);
        assertEquals("10.0.0.2:8081", sent.endpoint().toString());
        assertEquals("POST", sent.method());
        assertEquals("/peer", sent.path());
        assertEquals("application/cbor", sent.type());
        assertJson(
                """
                {"cancelled":{},"cancelled_whole":true,"writes_wanted":0.0,"member":"rig-0","sequence":1,"workers":0,
                 "process":17,"up_ms":0,"leading":0,"term":0,"store":false}""",
                cbor(sent.body()));
    }

    @Test
    void leaderMessageCarriesTermAndTaskCounts() {
        storeJobAndMachines(harness);
        harness.start();
        harness.addAgent(harness.newAgent(2, "a", false));
        harness.runUntil(() -> isJson("[1,3]", harness.lastPeerMessage().at("/counts/jobs/j-000001")), "counted");
        ObjectNode message = harness.lastPeerMessage();
        assertTrue(message.path("writes_wanted").isDouble());
        message.put("writes_wanted", 0.0).put("sequence", 1).put("up_ms", 0);
        assertJson(
                """
                {"cancelled":{},"cancelled_whole":true,"writes_wanted":0.0,"member":"rig-0","sequence":1,"workers":0,
                 "process":17,"up_ms":0,"leading":4137,"term":4137,"store":true,
                 "counts":{"after":"","up_to":null,"jobs":{"j-000001":[1,3]}}}""",
                message);
    }

    @Test
    void followerNotifiesLeaderOfAcceptedJobAtOnce() {
        startAsFollower(harness);
        long acceptedAtMs = harness.wallClockMs();
        assertEquals(201, harness.submit(without(GANG, "accepted_ms")).status());
        ObjectNode message = harness.lastPeerMessage();
        JsonNode notice = message.path("notice");
        assertTrue(notice.path("revision").isIntegralNumber()
                && notice.path("revision").asLong() > 0);
        long revision = notice.path("revision").asLong();
        assertJson(
                "{\"revision\":" + revision + ",\"accepted\":" + with(GANG, "\"accepted_ms\":" + acceptedAtMs) + "}",
                notice);
        assertEquals(
                Set.of("notice"), difference(message, peerMessage("\"member\":\"rig-0\",\"process\":17,\"term\":41")));
    }

    @Test
    void followerNotifiesLeaderOfCancelledJobAtOnce() {
        harness.storeRecords(Map.of("open/j-000001", ARRAY));
        startAsFollower(harness);
        assertEquals(200, harness.cancel("j-000001").status());
        ObjectNode message = harness.lastPeerMessage();
        assertJson("{\"j-000001\":0}", message.path("cancelled"));
        assertEquals(
                Set.of("cancelled"),
                difference(message, peerMessage("\"member\":\"rig-0\",\"process\":17,\"term\":41")));
    }

    @Test
    void followerReportsCountOfRedirectedReachableAgents() {
        startAsFollower(harness);
        SimulatedAgent agent = harness.newAgent(1, "a", false);
        harness.makeReachable(agent);
        assertEquals(421, harness.heartbeat(agent).status());
        harness.runUntil(() -> harness.lastPeerMessage().path("workers").asInt() == 1, "reports the agent");
    }

    // ---- messages between controllers: served

    @Test
    void answersPeerMessageWithSameFieldsAndReceivedCancellations() {
        startAsFollower(harness);
        Response response = harness.sendAsPeer(HexFormat.of().parseHex(PEER_MESSAGE_CBOR));
        assertEquals(200, response.status());
        assertEquals("application/cbor", response.type());
        ObjectNode message = (ObjectNode) cbor(response.body());
        assertTrue(message.path("writes_wanted").isDouble());
        message.put("writes_wanted", 0.0).put("sequence", 1).put("up_ms", 0);
        assertJson(
                """
                {"cancelled":{"j-000004":1500},"cancelled_whole":true,"writes_wanted":0.0,"member":"rig-0","sequence":1,
                 "workers":0,"process":17,"up_ms":0,"leading":0,"term":41,"store":true}""",
                message);
    }

    @Test
    void rejectsInvalidPeerRequests() {
        harness.start();
        Response response = harness.sendAsPeer(cbor(peerMessage("\"member\":\"rig-7\"")));
        assertEquals(400, response.status());
        assertJson("{\"error\":\"not a peer's message\"}", json(response.body()));
        assertEquals(405, harness.send(ListenerKind.PEER, "GET", "/peer", null).status());
        assertEquals(404, harness.send(ListenerKind.PEER, "GET", "/hello", null).status());
    }

    @Test
    void stopsTasksOfJobCancelledInPeerMessage() {
        storeJobAndMachines(harness);
        harness.start();
        SimulatedAgent agent = harness.newAgent(2, "a", false);
        harness.addAgent(agent);
        harness.runUntil(() -> agent.runningTasks().size() == 3, "three tasks run");
        harness.sendAsPeer(cbor(peerMessage("\"cancelled\":{\"j-000001\":200}")));
        harness.runFor(100);
        assertEquals(List.of(), agent.runningTasks());
    }

    @Test
    void startsJobFromPeerNoticeBeforeStoreWatchReportsIt() {
        harness.storeRecords(Map.of("types", TYPES, "lead/term", TERM, "mach/0", MACHINES));
        harness.listedMachines = List.of(1, 2, 3, 4);
        harness.start();
        harness.addAgent(harness.newAgent(1, "a", false));
        harness.runFor(5_000);
        harness.store.setWatchesPaused(true);
        String notice = "\"notice\":{\"revision\":99,\"accepted\":" + GANG + "}";
        harness.sendAsPeer(cbor(peerMessage(notice)));
        harness.runFor(1_000);
        assertEquals(Set.of("j-000002/0", "j-000002/1"), harness.startedOn.keySet());
    }

    @Test
    void stepsDownOnHigherTermInPeerMessage() {
        storeJobAndMachines(harness);
        harness.start();
        harness.runUntil(() -> harness.reportsLeading(4137), "is elected");
        Response response = harness.sendAsPeer(cbor(peerMessage("\"term\":4138")));
        assertEquals(4138, cbor(response.body()).path("term").asLong());
        assertEquals(0, cbor(response.body()).path("leading").asLong());
    }

    @Test
    void leaderGrantsWriteBudgetToRequestingPeer() {
        storeJobAndMachines(harness);
        harness.start();
        harness.runFor(5_000);
        // A quarter of 43.2 is granted without demand. 72 exceeds the peer's share by 39.6; the leader needs some.
        JsonNode idleGrant = cbor(
                harness.sendAsPeer(cbor(peerMessage("\"writes_wanted\":0.0"))).body());
        assertEquals(10.8, idleGrant.path("writes_lent").asDouble(), 0.1);
        JsonNode grant = cbor(
                harness.sendAsPeer(cbor(peerMessage("\"writes_wanted\":72.0"))).body());
        assertEquals(32.4, grant.path("writes_lent").asDouble(), 0.1);
        assertEquals(
                Set.of("writes_lent"),
                difference(grant, peerMessage("\"member\":\"rig-0\",\"process\":17,\"leading\":4137,\"term\":4137")));
    }

    @Test
    void usesWriteBudgetGrantedInPeerResponse() {
        long withGrant = countAcceptedInOneSecond(peerMessage("\"writes_lent\":60.0"));
        long withoutGrant = countAcceptedInOneSecond(peerMessage("\"leading\":41"));
        assertTrue(withGrant > withoutGrant + 20, withGrant + " with a grant, " + withoutGrant + " without");
    }

    private static long countAcceptedInOneSecond(JsonNode response) {
        ControllerHarness harness = new ControllerHarness(TYPES);
        harness.peer = sent -> response;
        startAsFollower(harness);
        List<Long> submitted = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            submitted.add(harness.sendAsync(
                    ListenerKind.CLIENT, "POST", "/submissions", bytes(with(GANG, "\"id\":\"j-" + i + "\""))));
        }
        harness.runFor(1_000);
        return submitted.stream()
                .filter(id -> harness.responses.containsKey(id)
                        && harness.responses.get(id).status() == 201)
                .count();
    }

    @Test
    void appliesTaskCountPageToItsRangeUnlessOutdated() {
        harness.storeRecords(Map.of("open/j-000001", ARRAY, "open/j-000002", GANG));
        harness.peer = sent -> peerMessage("\"sequence\":1");
        startAsFollower(harness);
        harness.sendAsPeer(
                counts(10, "\"after\":\"\",\"up_to\":null,\"jobs\":{\"j-000001\":[1,3],\"j-000002\":[0,2]}"));
        assertJson("{\"id\":\"j-000001\",\"phase\":\"running\",\"done\":1,\"running\":3}", harness.job("j-000001"));
        assertJson("{\"id\":\"j-000002\",\"phase\":\"running\",\"done\":0,\"running\":2}", harness.job("j-000002"));
        harness.sendAsPeer(counts(11, "\"after\":\"\",\"up_to\":\"j-000001\",\"jobs\":{}"));
        assertJson("{\"id\":\"j-000001\",\"phase\":\"pending\",\"done\":0,\"running\":0}", harness.job("j-000001"));
        assertJson("{\"id\":\"j-000002\",\"phase\":\"running\",\"done\":0,\"running\":2}", harness.job("j-000002"));
        harness.sendAsPeer(counts(12, "\"after\":\"j-000002\",\"up_to\":null,\"jobs\":{}"));
        assertEquals(2, harness.job("j-000002").path("running").asInt(), "job is outside the page");
        harness.sendAsPeer(counts(9, "\"after\":\"\",\"up_to\":null,\"jobs\":{}"));
        assertEquals(2, harness.job("j-000002").path("running").asInt(), "outdated page");
    }

    private static byte[] counts(int sequence, String page) {
        return cbor(peerMessage("\"sequence\":" + sequence + ",\"counts\":{" + page + "}"));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void leaderStepsDownIfPeerReportsRedirectedAgents(int redirected) {
        storeJobAndMachines(harness);
        harness.peer = sent -> peerMessage("\"sequence\":" + sent.path("sequence") + ",\"workers\":" + redirected);
        harness.start();
        SimulatedAgent agent = harness.newAgent(2, "a", false);
        harness.addAgent(agent);
        harness.runUntil(() -> agent.runningTasks().size() == 3, "the agent runs tasks");
        harness.isolate(agent);
        harness.runFor(8_000);
        assertEquals(redirected == 0, harness.reportsLeading(4137));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void isReadyDuringStoreOutageUnlessPeerReachesStore(boolean peerHasStore) {
        harness.storeRecords(Map.of("types", TYPES));
        harness.peer = sent -> peerMessage("\"sequence\":" + sent.path("sequence") + ",\"store\":" + peerHasStore);
        harness.start();
        harness.runFor(2_000);
        assertEquals(
                200, harness.send(ListenerKind.CLIENT, "GET", "/ready", null).status());
        harness.store.setOutage(true);
        harness.runFor(8_000);
        int status = peerHasStore ? 503 : 200;
        assertEquals(
                status, harness.send(ListenerKind.CLIENT, "GET", "/ready", null).status());
    }

    @Test
    void leaderAnswersAgentsDuringStoreOutageIfPeerListsAllCancellations() {
        assertEquals(200, heartbeatStatusDuringLongStoreOutage(""));
        assertEquals(503, heartbeatStatusDuringLongStoreOutage(",\"cancelled_whole\":false"));
    }

    @Test
    void leaderTrustsRestartedPeerDuringStoreOutageAfterCancellationTime() {
        assertEquals(200, heartbeatStatusDuringLongStoreOutage(",\"process\":25,\"up_ms\":40000"));
        assertEquals(503, heartbeatStatusDuringLongStoreOutage(",\"process\":25,\"up_ms\":0"));
    }

    private static int heartbeatStatusDuringLongStoreOutage(String outageFields) {
        ControllerHarness harness = new ControllerHarness(TYPES);
        storeJobAndMachines(harness);
        harness.peer = sent -> peerMessage("\"sequence\":" + sent.path("sequence"));
        harness.start();
        harness.runFor(5_000);
        harness.store.setOutage(true);
        harness.peer = sent -> peerMessage("\"sequence\":" + sent.path("sequence") + outageFields);
        harness.runFor(25_000);
        return harness.heartbeat(harness.newAgent(2, "a", false)).status();
    }

    // ---- metrics

    @Test
    void initialMetricsHaveStableNames() {
        harness.start();
        JsonNode metrics = harness.metrics();
        assertEquals(Set.of("process", "counts"), fieldNames(metrics));
        assertJson("{\"given\":1}", metrics.path("process"));
        assertEquals(COUNTERS_AT_START, fieldNames(metrics.path("counts")));
    }

    @Test
    void leaderMetricsIncludeWorkCounters() {
        storeJobAndMachines(harness);
        harness.start();
        harness.addAgent(harness.newAgent(1, "a", false));
        harness.addAgent(harness.newAgent(2, "a", false));
        harness.runUntil(() -> harness.stored("over/j-000001") != null, "the job is completed");
        Set<String> missing = new TreeSet<>(LEADER_COUNTERS);
        missing.removeAll(fieldNames(harness.metrics().path("counts")));
        assertEquals(Set.of(), missing);
    }

    @Test
    void processMetricsIncludeTimings() {
        ProcessMetrics metrics = new ProcessMetrics();
        metrics.recordRequest(200, 1_000_000);
        metrics.recordBatch(1_000_000);
        metrics.recordRefusedRequest();
        JsonNode process = metrics.snapshot();
        assertEquals(
                Set.of(
                        "requests",
                        "requests.percentile.0.5",
                        "requests.percentile.0.9",
                        "requests.percentile.0.99",
                        "requests.refused",
                        "responses.200",
                        "batches"),
                fieldNames(process));
        assertEquals(Set.of("value"), fieldNames(process.path("requests.percentile.0.5")));
        assertEquals(Set.of("count", "total", "max", "p50", "p90", "p99"), fieldNames(process.path("requests")));
        assertEquals(Set.of("count", "total", "max"), fieldNames(process.path("batches")));
        assertEquals(Set.of("count"), fieldNames(process.path("responses.200")));
    }

    private static JsonNode peerMessage(String fields) {
        return json(with(PEER_MESSAGE, fields));
    }

    private static Set<String> fieldNames(JsonNode object) {
        Set<String> names = new TreeSet<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Fields in which two messages differ, except sequence number, uptime and requested writes. */
    private static Set<String> difference(JsonNode message, JsonNode other) {
        assertTrue(message.path("sequence").isIntegralNumber());
        assertTrue(message.path("up_ms").isIntegralNumber());
        assertTrue(message.path("writes_wanted").isDouble());
        Set<String> all = fieldNames(message);
        all.addAll(fieldNames(other));
        all.removeAll(Set.of("sequence", "up_ms", "writes_wanted"));
        all.removeIf(name -> message.path(name).equals(other.path(name)));
        return all;
    }

    private static boolean isJson(String expected, JsonNode actual) {
        return actual != null && json(expected).equals(json(actual.toString()));
    }

    private static void assertJson(String expected, JsonNode actual) {
        assertNotNull(actual);
        assertEquals(json(expected), json(actual.toString()));
    }

    /** Stores one job, a used machine that may run its first tasks, and machines that were never used. */
    private static void storeJobAndMachines(ControllerHarness harness) {
        harness.storeRecords(Map.of("types", TYPES, "open/j-000001", ARRAY, "prog/0", PROGRESS));
        harness.storeRecords(Map.of("mach/0", MACHINES, "used/0", USED_MACHINES));
        harness.storeRecords(Map.of("lead/term", TERM));
    }

    /** Starts the controller while rig-1, process 23, leads term 41. */
    private static void startAsFollower(ControllerHarness harness) {
        harness.storeRecords(Map.of("types", TYPES, "lead/term", TERM));
        harness.storeWithLease("lead/leader", LEADER.formatted("rig-1", 23));
        Function<JsonNode, JsonNode> peer = harness.peer;
        harness.peer = sent -> {
            harness.postToStore("/holds/1/extend", "{}");
            JsonNode response = peer.apply(sent);
            return response == null ? peerMessage("\"term\":41,\"leading\":41") : response;
        };
        harness.start();
        harness.runFor(2_000);
    }
}
