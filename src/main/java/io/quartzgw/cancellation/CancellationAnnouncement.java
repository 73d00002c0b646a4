package io.quartzgw.cancellation;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The cancelled jobs that a controller announces to another one in a message.
 *
 * @param ageMsByJob time since the cancellation by job ID, the oldest first
 * @param complete whether the message contains all jobs that the sender has to announce
 */
public record CancellationAnnouncement(Map<String, Long> ageMsByJob, boolean complete) {

    /** Copies the map and keeps its order. */
    public CancellationAnnouncement {
        ageMsByJob = Collections.unmodifiableMap(new LinkedHashMap<>(ageMsByJob));
    }

    /** The number of announced jobs. */
    public int size() {
        return ageMsByJob.size();
    }
}
