package io.quartzgw.cancellation;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The cancelled jobs that a message between controllers names.
 *
 * @param ageMsByJob how long ago each job was cancelled, the oldest first
 * @param complete whether these are all that the sender has to announce
 */
public record CancellationAnnouncement(Map<String, Long> ageMsByJob, boolean complete) {

    /** Copies the map and keeps its order. */
    public CancellationAnnouncement {
        ageMsByJob = Collections.unmodifiableMap(new LinkedHashMap<>(ageMsByJob));
    }

    /** How many jobs are named. */
    public int size() {
        return ageMsByJob.size();
    }
}
