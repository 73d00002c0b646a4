package io.quartzgw.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The partitions between hosts, and the packets delayed by them. */
final class NetworkPartitions {
    /** The receiver of delayed heartbeats, whichever controller the agent sends them to. */
    static final String ANY_CONTROLLER = "controllers";

    private final Set<Link> partitioned = new HashSet<>();
    private final Map<Link, List<Runnable>> delayedPackets = new LinkedHashMap<>();

    private record Link(String from, String to) {}

    /** Partitions two hosts, or one from all others with {@link Hosts#ALL}. */
    void partition(String one, String other) {
        partitioned.add(new Link(one, other));
    }

    /** Heals a partition, and returns the packets delayed by any partition: by link, in the order sent. */
    List<Runnable> heal(String one, String other) {
        partitioned.remove(new Link(one, other));
        List<Runnable> packets =
                delayedPackets.values().stream().flatMap(List::stream).toList();
        delayedPackets.clear();
        return packets;
    }

    /** Heals a partition and drops the packets delayed by it. */
    void healDroppingPackets(String one, String other) {
        partitioned.remove(new Link(one, other));
        delayedPackets.remove(new Link(one, other));
        delayedPackets.remove(new Link(other, one));
    }

    boolean isPartitioned(String one, String other) {
        return partitioned.contains(new Link(one, other))
                || partitioned.contains(new Link(other, one))
                || partitioned.contains(new Link(one, Hosts.ALL))
                || partitioned.contains(new Link(other, Hosts.ALL));
    }

    /** Delays a packet until a partition is healed. */
    void delayUntilHealed(String from, String to, Runnable packet) {
        delayedPackets
                .computeIfAbsent(new Link(from, to), link -> new ArrayList<>())
                .add(packet);
    }
}
