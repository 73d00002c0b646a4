package io.quartzgw.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    private static final String VALID_SETTINGS =
            """
            member = "rig-0"
            site = "x"
            client_listen = "127.0.0.1:8080"
            peer_listen = "127.0.0.1:8081"
            something_new = 3
            [[known]]
            member = "rig-1"
            site = "x"
            endpoint = "127.0.0.2:8081"
            [external]
            cloud = "127.0.0.9:1"
            state = "127.0.0.9:2"
            [facts]
            size = 2
            zones = ["x"]
            [[facts.teams]]
            name = "t"
            cpus = 4.0
            cpus_max = 8.0
            [[facts.objectives]]
            kind = "finished"
            class = "c"
            within_s = 60.0
            share = 0.9
            [facts.workers]
            report_s = 2.5
            lease_s = 16.0
            cancel_s = 36.0
            [facts.state]
            rps = 150.0
            write_rps = 60.0
            value_kb = 8.0
            txn_ops = 48
            [facts.cloud]
            rps = 4.0
            list_lag_s = 5.0
            [facts.limits]
            sockets = 1000
            """;

    @Test
    void readsValidSettings() throws InvalidSettingsException {
        Settings settings = SettingsReader.read(VALID_SETTINGS);
        assertEquals("rig-0", settings.member());
        assertEquals(16_000, settings.agentTiming().leaseMs());
        assertEquals(Map.of("c", List.of(60.0)), settings.completionObjectives());
        assertEquals(1, settings.peers().size());
    }

    @ParameterizedTest
    @CsvSource({
        "lease_s = 16.0, lease_s = 1.0, facts.workers.lease_s",
        "cancel_s = 36.0, cancel_s = 10.0, facts.workers.cancel_s",
        "cancel_s = 36.0, cancel_s = 22.0, facts.workers.cancel_s",
        "report_s = 2.5, report_s = 0.0, facts.workers.report_s",
        "rps = 150.0, rps = nan, facts.state.rps",
        "txn_ops = 48, x = 1, facts.state.txn_ops",
        "127.0.0.9:1, 127.0.0.9, external.cloud",
        "127.0.0.1:8080, 127.0.0.1:99999, client_listen",
        "cpus = 4.0, cpus = -1.0, facts.teams.cpus",
        "size = 2, size = 0, facts.size"
    })
    void namesInvalidFieldInError(String validSetting, String invalidSetting, String field) {
        InvalidSettingsException error = assertThrows(
                InvalidSettingsException.class,
                () -> SettingsReader.read(VALID_SETTINGS.replace(validSetting, invalidSetting)));
        assertEquals(field, error.getMessage().split(":", 2)[0]);
    }
}
