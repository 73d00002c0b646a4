package io.quartzgw.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/** The leader's model of a machine's image cache, which evicts the least recently used images. */
final class ImageCache {
    private final double capacityGb;
    private final LinkedHashMap<String, Double> sizesGb = new LinkedHashMap<>(8, 0.75f, true);

    ImageCache(double capacityGb) {
        this.capacityGb = capacityGb;
    }

    boolean contains(String image) {
        return sizesGb.containsKey(image);
    }

    /** Records that an image was fetched or used, and evicts others if the cache is over its capacity. */
    void put(String image, double sizeGb) {
        sizesGb.put(image, sizeGb);
        double cachedGb =
                sizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
        var leastRecentlyUsed = sizesGb.entrySet().iterator();
        while (cachedGb > capacityGb && leastRecentlyUsed.hasNext()) {
            Map.Entry<String, Double> entry = leastRecentlyUsed.next();
            if (!entry.getKey().equals(image)) {
                cachedGb -= entry.getValue();
                leastRecentlyUsed.remove();
            }
        }
    }
}
