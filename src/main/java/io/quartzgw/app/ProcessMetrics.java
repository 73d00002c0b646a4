package io.quartzgw.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.distribution.HistogramSnapshot;
import io.micrometer.core.instrument.distribution.ValueAtPercentile;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.quartzgw.http.Json;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Counters and timers of a controller process; latencies are kept in Micrometer's HdrHistograms. */
final class ProcessMetrics {
    private static final double[] PERCENTILES = {0.5, 0.9, 0.99};

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Timer requests = Timer.builder("requests")
            .publishPercentiles(PERCENTILES)
            .percentilePrecision(1)
            .distributionStatisticExpiry(Duration.ofMinutes(5))
            .distributionStatisticBufferLength(2)
            .register(registry);
    private final Timer batches = Timer.builder("batches").register(registry);
    private final Counter recordRefusedRequest =
            Counter.builder("requests.refused").register(registry);
    private final Map<Integer, Counter> statuses = new ConcurrentHashMap<>();

    void recordRequest(int status, long nanos) {
        requests.record(nanos, TimeUnit.NANOSECONDS);
        statuses.computeIfAbsent(status, key -> Counter.builder("responses")
                        .tag("status", Integer.toString(key))
                        .register(registry))
                .increment();
    }

    void recordBatch(long nanos) {
        batches.record(nanos, TimeUnit.NANOSECONDS);
    }

    void recordRefusedRequest() {
        recordRefusedRequest.increment();
    }

    JsonNode snapshot() {
        ObjectNode all = Json.object();
        for (Meter meter : registry.getMeters()) {
            StringBuilder name = new StringBuilder(meter.getId().getName());
            meter.getId().getTags().forEach(tag -> name.append('.').append(tag.getValue()));
            ObjectNode values = all.putObject(name.toString());
            for (Measurement measurement : meter.measure()) {
                values.put(measurement.getStatistic().getTagValueRepresentation(), measurement.getValue());
            }
            if (meter instanceof Timer timer) {
                HistogramSnapshot histogram = timer.takeSnapshot();
                for (ValueAtPercentile value : histogram.percentileValues()) {
                    values.put("p" + Math.round(value.percentile() * 100), value.value(TimeUnit.SECONDS));
                }
            }
        }
        return all;
    }
}
