package io.quartzgw.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which hosts are cut off from which, and the packets that are held back between them. */
final class NetworkPartitions {
    /** Stands for whichever controller a worker reports to. */
    static final String CONTROLLERS = "controllers";

    private static final String ALL = "*";

    private final Set<String> cut = new HashSet<>();
    private final Map<String, List<Runnable>> held = new LinkedHashMap<>();

    private static String link(String one, String other) {
        return one + "|" + other;
    }

    /** Cuts two hosts off from each other, or one from all with {@code "*"}. */
    void cut(String one, String other) {
        cut.add(link(one, other));
    }

    /** Ends a cut, and returns every packet that was held back anywhere, in order. */
    List<Runnable> heal(String one, String other) {
        cut.remove(link(one, other));
        List<Runnable> packets = held.values().stream().flatMap(List::stream).toList();
        held.clear();
        return packets;
    }

    /** Ends a cut whose packets are lost for good. */
    void drop(String one, String other) {
        cut.remove(link(one, other));
        held.remove(link(one, other));
        held.remove(link(other, one));
    }

    boolean isCut(String one, String other) {
        return cut.contains(link(one, other))
                || cut.contains(link(other, one))
                || cut.contains(link(one, ALL))
                || cut.contains(link(other, ALL));
    }

    /** Holds a packet back until a cut ends. */
    void hold(String from, String to, Runnable arrive) {
        held.computeIfAbsent(link(from, to), key -> new ArrayList<>()).add(arrive);
    }
}
