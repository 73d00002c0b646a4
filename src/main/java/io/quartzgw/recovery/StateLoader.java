package io.quartzgw.recovery;

import io.quartzgw.agent.LeaderContext;
import io.quartzgw.fleet.MachineRecords;
import io.quartzgw.progress.ProgressRecorder;
import io.quartzgw.startlog.StartLog;
import io.quartzgw.store.ListResult;
import io.quartzgw.store.StoreClient;
import io.quartzgw.submission.JobKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads the stored state, one key prefix after the other, and restarts from the first if a request fails. */
final class StateLoader {
    private static final List<String> PREFIXES = List.of(
            JobKeys.OPEN_PREFIX,
            ProgressRecorder.PREFIX,
            MachineRecords.PREFIX,
            MachineRecords.USED_MARK_PREFIX,
            StartLog.PREFIX);

    private final LeaderContext leader;
    private final StoreClient store;
    private final long retryDelayMs;
    private final Consumer<StoredState> onLoaded;

    /**
     * @param retryDelayMs the delay before the next attempt
     * @param onLoaded receives the state once, only while this leader's term is current
     */
    StateLoader(LeaderContext leader, StoreClient store, long retryDelayMs, Consumer<StoredState> onLoaded) {
        this.leader = leader;
        this.store = store;
        this.retryDelayMs = retryDelayMs;
        this.onLoaded = onLoaded;
    }

    /** Starts reading once the machine types are known. */
    void load() {
        if (!leader.term().isCurrent()) {
            return;
        }
        if (!leader.machineTypes().isKnown()) {
            scheduleRetry();
            return;
        }
        listNext(new ArrayList<>());
    }

    private void listNext(List<StoreClient.Listing> listings) {
        if (listings.size() == PREFIXES.size()) {
            onLoaded.accept(new StoredState(
                    listings.get(0),
                    listings.get(1).entries(),
                    listings.get(2).entries(),
                    listings.get(3).entries(),
                    listings.get(4).entries()));
            return;
        }
        store.listPrefix(PREFIXES.get(listings.size()), result -> onListed(result, listings));
    }

    private void onListed(ListResult result, List<StoreClient.Listing> listings) {
        if (!leader.term().isCurrent()) {
            return;
        }
        if (result instanceof ListResult.Listed listed) {
            listings.add(listed.listing());
            listNext(listings);
        } else {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        leader.eventLoop().after(retryDelayMs, this::load);
    }
}
