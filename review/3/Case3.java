import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 100 arrays, four of which (4%) were submitted with a mistake and are cancelled; then a service that nothing keeps from
 * running. It has to start within 90 s.
 */
final class Case3 extends Scenario implements Workers.Listener {
    private static final int MACHINES = 2;
    private static final int SOUND_JOBS = 96;
    private static final int MISTAKEN_JOBS = 4;
    private static final int USERS = 12;
    private static final double WAIT_LIMIT_S = 90;
    private static final String SERVICE = "j-000900";
    private static final double SERVICE_CPUS = 2;
    private static final double SERVICE_RAM_GB = 6.3;

    private final Controllers controllers;
    private final Users users;
    private final Workers workers;
    private final Set<String> started = ConcurrentHashMap.newKeySet();
    private final Set<String> removed = ConcurrentHashMap.newKeySet();

    Case3(Path folder, Path repository) throws Exception {
        controllers = new Controllers(3, Greenhouses.ZONE, folder, repository);
        users = new Users(controllers);
        workers = new Workers(Greenhouses.REPORT_S, Greenhouses.LEASE_S, controllers, users, this);
        StateService state = new StateService(
                Greenhouses.STATE_RPS,
                Greenhouses.STATE_WRITE_RPS,
                Greenhouses.STATE_VALUE_KB,
                Greenhouses.STATE_TXN_OPS);
        Cloud.Type type = Greenhouses.type(MACHINES);
        Cloud cloud = new Cloud(Greenhouses.CLOUD_RPS, Greenhouses.CLOUD_LAG_S, 15, List.of(type), workers);
        controllers.setFacts(controller -> Greenhouses.facts(cloud.address, state.address));
        for (int i = 0; i < MACHINES; i++) {
            cloud.addRunning(type, Greenhouses.ZONE);
        }
    }

    public static void main(String[] args) throws Exception {
        Lab.openRecord(folder(args, 0).resolve("record.txt"));
        Scenario.main(new Case3(folder(args, 1), folder(args, 2)), args);
    }

    @Override
    Controllers controllers() {
        return controllers;
    }

    @Override
    int play() throws Exception {
        for (int i = 0; i < controllers.count(); i++) {
            controllers.start(i);
        }
        for (int i = 0; i < controllers.count(); i++) {
            require(controllers.awaitReady(i, 20), Controllers.name(i) + " is not ready");
        }
        submitSound();
        await("all sound jobs are done", 25, () -> workers.results.size() == SOUND_JOBS);
        List<String> mistaken = new ArrayList<>();
        for (int i = 0; i < MISTAKEN_JOBS; i++) {
            String id = String.format("j-%06d", 200 + i);
            mistaken.add(id);
            submitArray(id, trouble);
            // By then a controller has seen how the task ended.
            await("a worker was told to remove " + id + "/0", 10, () -> removed.contains(id + "/0"));
        }
        if (trouble) {
            for (String id : mistaken) {
                require(users.cancel(id), id + " was not cancelled");
            }
        }
        return judge();
    }

    private void submitSound() throws Exception {
        AtomicInteger next = new AtomicInteger();
        AtomicBoolean failed = new AtomicBoolean();
        CountDownLatch over = new CountDownLatch(USERS);
        for (int user = 0; user < USERS; user++) {
            Lab.background(() -> {
                try {
                    for (int i = next.getAndIncrement(); i < SOUND_JOBS; i = next.getAndIncrement()) {
                        submitArray(String.format("j-%06d", i), false);
                    }
                } catch (Exception e) {
                    failed.set(true);
                } finally {
                    over.countDown();
                }
            });
        }
        require(over.await(25, TimeUnit.SECONDS) && !failed.get(), "the sound jobs were not accepted");
    }

    private void submitArray(String id, boolean mistaken) throws Exception {
        Users.Job job =
                new Users.Job(id, false, 1, 1, 2.05, "img-1", 0.25, (index, ranS) -> ranS > 0.1, mistaken);
        ObjectNode body = Users.submission(job, "sensor-backfill", "growbox-firmware", "standard", 20);
        require(users.submit(job, body), id + " was not accepted");
    }

    private int judge() throws Exception {
        Users.Job service =
                new Users.Job(SERVICE, true, 1, SERVICE_CPUS, SERVICE_RAM_GB, "img-1", 0.25, (index, ranS) -> false);
        ObjectNode body = Users.submission(service, "vent-controller", "agronomy-desk", "critical", 0);
        require(users.submit(service, body), SERVICE + " was not accepted");
        double acceptedAt = Lab.now();
        double askAt = acceptedAt;
        while (Lab.now() - acceptedAt <= WAIT_LIMIT_S) {
            if (started.contains(SERVICE + "/0")) {
                Lab.note("rule held: %s/0 started %.1f s after it was accepted", SERVICE, Lab.now() - acceptedAt);
                return HELD;
            }
            require(hasRoom(), "no machine has room for " + SERVICE);
            if (Lab.now() >= askAt) {
                askAt += 10;
                Lab.Reply answer = users.ask(SERVICE);
                Lab.note("user: asked about %s: %s", SERVICE, answer == null ? "no answer" : answer.text());
                workers.all().forEach(worker -> Lab.note("worker %s (%s, %s): %.0f CPUs and %.1f GB free, tasks: %s",
                        worker.id, worker.type.name(), worker.zone, worker.freeCpus(), worker.freeRamGb(),
                        worker.listTasks()));
            }
            Lab.sleep(0.05);
        }
        for (int i = 0; i < controllers.count(); i++) {
            Lab.note("metrics of %s: %s", Controllers.name(i), controllers.metrics(i));
        }
        Lab.note("rule broken: %s was accepted, waited for more than %.0f s, and a machine had room all the time",
                SERVICE, WAIT_LIMIT_S);
        return BROKEN;
    }

    private boolean hasRoom() {
        return workers.all().stream()
                .anyMatch(worker -> worker.freeCpus() >= SERVICE_CPUS && worker.freeRamGb() >= SERVICE_RAM_GB);
    }

    // ---- what the workers see

    @Override
    public void started(Worker worker, String task) {
        started.add(task);
        Lab.note("worker %s: %s runs", worker.id, task);
    }

    @Override
    public void done(Worker worker, String task) {
        Lab.note("worker %s: %s done", worker.id, task);
    }

    @Override
    public void failed(Worker worker, String task) {
        Lab.note("worker %s: %s failed (error)", worker.id, task);
    }

    @Override
    public void removed(Worker worker, String task) {
        removed.add(task);
    }

    @Override
    public void answered(int controller) {}
}
