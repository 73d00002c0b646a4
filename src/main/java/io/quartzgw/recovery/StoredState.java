package io.quartzgw.recovery;

import io.quartzgw.store.KeyValue;
import io.quartzgw.store.StoreClient;
import java.util.List;

/**
 * The state that a new leader reads from the state service.
 *
 * @param openJobs the open jobs, with the revision at which they were read
 * @param progress the completed tasks of open jobs, and how many tasks may have been started
 * @param machines the descriptions of the rented machines
 * @param usedMachines the machines that may run tasks
 * @param startLog the starts of previous leaders that direct calls may still deliver
 */
record StoredState(
        StoreClient.Listing openJobs,
        List<KeyValue> progress,
        List<KeyValue> machines,
        List<KeyValue> usedMachines,
        List<KeyValue> startLog) {}
