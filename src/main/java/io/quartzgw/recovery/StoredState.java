package io.quartzgw.recovery;

import io.quartzgw.store.KeyValue;
import io.quartzgw.store.StoreClient;
import java.util.List;

/**
 * What the state service has stored when a new leader is elected.
 *
 * @param openJobs the open jobs, with the revision at which they were read
 * @param progress the finished tasks of open jobs, and how many tasks may have been started
 * @param machines the descriptions of the rented machines
 * @param usedMachines the machines that may run tasks
 * @param startLog the starts that direct calls of former leaders may still carry
 */
record StoredState(
        StoreClient.Listing openJobs,
        List<KeyValue> progress,
        List<KeyValue> machines,
        List<KeyValue> usedMachines,
        List<KeyValue> startLog) {}
