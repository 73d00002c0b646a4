package io.quartzgw.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The partitions between hosts, and the packets that are held back by them. */
final class NetworkPartitions {
    /** Stands, as a receiver, for whichever controller an agent sends its heartbeats to. */
    static final String ANY_CONTROLLER = "controllers";

    private final Set<Link> partitioned = new HashSet<>();
    private final Map<Link, List<Runnable>> delayedPackets = new LinkedHashMap<>();

    private record Link(String from, String to) {}

    /** Partitions two hosts, or one from all with {@link Hosts#ALL}. */
    void partition(String one, String other) {
        partitioned.add(new Link(one, other));
    }

    /** Heals a partition, and returns the packets that were held back by any partition, in order. */
    List<Runnable> heal(String one, String other) {
        partitioned.remove(new Link(one, other));
        List<Runnable> packets =
                delayedPackets.values().stream().flatMap(List::stream).toList();
        delayedPackets.clear();
        return packets;
    }

    /** Heals a partition whose packets are lost for good. */
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

    /** Holds a packet back until a partition heals. */
    void delayUntilHealed(String from, String to, Runnable packet) {
        delayedPackets
                .computeIfAbsent(new Link(from, to), link -> new ArrayList<>())
                .add(packet);
    }
}
