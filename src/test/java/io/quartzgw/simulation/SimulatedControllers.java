package io.quartzgw.simulation;

import io.quartzgw.app.Settings;
import io.quartzgw.http.Call;
import io.quartzgw.http.ListenerKind;
import io.quartzgw.http.Reply;
import io.quartzgw.store.StoreLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** All controllers of a simulated cluster, by index. */
final class SimulatedControllers {
    private final SimulationContext context;
    /** The settings with which each controller starts next, by index. */
    private final List<SimulationSettings> settings = new ArrayList<>();

    private final SentMessagesDigest messagesDigest = new SentMessagesDigest();
    private final List<SimulatedController> controllers = new ArrayList<>();
    private long processCount;

    SimulatedControllers(
            SimulationContext context,
            SimulationSettings settings,
            SimulatedNetwork network,
            LeaderActionChecks leaderActionChecks,
            int count) {
        this.context = context;
        for (int i = 0; i < count; i++) {
            this.settings.add(settings);
            controllers.add(
                    new SimulatedController(Hosts.controller(i), context, network, messagesDigest, leaderActionChecks));
        }
    }

    int count() {
        return controllers.size();
    }

    /** The index of a controller, drawn at random. */
    int randomIndex() {
        return context.random().nextInt(controllers.size());
    }

    Settings settings(int index) {
        return settings.get(index).forController(index, controllers.size());
    }

    /** Changes the limits of the state service in the settings of a controller, from its next start on. */
    void setStoreLimits(int index, StoreLimits limits) {
        settings.set(index, settings.get(index).withStoreLimits(limits));
    }

    void start(int index) {
        controllers.get(index).start(settings(index), ++processCount);
    }

    void startAll() {
        for (int i = 0; i < controllers.size(); i++) {
            start(i);
        }
    }

    void crash(int index) {
        controllers.get(index).crash();
    }

    void pause(int index, long durationMs) {
        controllers.get(index).pause(durationMs);
    }

    void pauseWithinBatch(int index, long durationMs) {
        controllers.get(index).pauseWithinBatch(durationMs);
    }

    /** As {@link #pauseWithinBatch}, but in the next batch that sends a call to {@code path}. */
    void pauseBeforeCall(int index, String path, long durationMs) {
        controllers.get(index).pauseBeforeCall(path, durationMs);
    }

    void setMaxBatchDelay(long delayMs) {
        controllers.forEach(controller -> controller.setMaxBatchDelay(delayMs));
    }

    boolean isUp(int index) {
        return controllers.get(index).isUp();
    }

    /** The index of the leading controller with the highest term, or {@link ClusterSimulation#NO_LEADER}. */
    int leader() {
        int leader = ClusterSimulation.NO_LEADER;
        for (int i = 0; i < controllers.size(); i++) {
            SimulatedController candidate = controllers.get(i);
            if (candidate.isLeading()
                    && (leader < 0 || candidate.term() > controllers.get(leader).term())) {
                leader = i;
            }
        }
        return leader;
    }

    void deliver(int index, ListenerKind listener, Call call, Consumer<Reply> onReply) {
        controllers.get(index).deliver(listener, call, onReply);
    }

    long failedEvents() {
        return controllers.stream()
                .filter(SimulatedController::isUp)
                .mapToLong(SimulatedController::failedEvents)
                .sum();
    }

    Map<String, Long> counters() {
        Map<String, Long> sums = new TreeMap<>();
        controllers.stream().filter(SimulatedController::isUp).forEach(controller -> controller
                .counters()
                .forEach((name, count) -> sums.merge(name, count, Long::sum)));
        return sums;
    }

    String messageDigest() {
        return messagesDigest.summary();
    }
}
