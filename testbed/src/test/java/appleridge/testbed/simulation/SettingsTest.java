package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.DiscoveryMode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SettingsTest {
    @Test
    void sidecarsParseTheSettings() throws Exception {
        for (long seed = 0; seed < 50; seed++) {
            Plan plan = Plan.draw(seed);
            ServerFixture fixture = new ServerFixture("");
            String text =
                    Settings.json(
                            plan,
                            "n1",
                            1,
                            fixture.machine(0).address(),
                            fixture.registry.address(),
                            -5,
                            Instances.json(2, true, fixture.instances.snapshot()));
            SidecarConfig config = SidecarConfig.parse(text.getBytes(StandardCharsets.UTF_8));
            assertEquals("n1", config.name());
            assertEquals(fixture.registry.address(), config.registryAddress());
            assertEquals(-5, config.seed());
            assertEquals(plan.size(ScenarioParameter.SOCKETS), config.maxDescriptors());
            assertEquals(plan.size(ScenarioParameter.CONN_IDLE), config.upstreamIdleTimeoutNanos());
            assertEquals(plan.size(ScenarioParameter.MAX_OPEN), config.maxOpenRequests());
            assertEquals(Site.ZONES, config.zones());
            var settings = config.settings();
            assertEquals(9, settings.tenants().size());
            assertEquals(DiscoveryMode.SUBSCRIBED, settings.discoveryMode());
            boolean pushed = plan.size(ScenarioParameter.LISTS_PUSHED) > 0;
            assertEquals(pushed, config.pollsLocalAgent());
            if (!pushed) {
                assertEquals(
                        plan.size(ScenarioParameter.ASK_WITHIN),
                        settings.safetyLimits().pollIntervalNanos());
            }
            assertEquals(
                    plan.size(ScenarioParameter.DRAIN_GRACE),
                    settings.safetyLimits().drainGraceNanos());
            assertEquals(
                    plan.size(ScenarioParameter.RETRY_AFTER) > 0,
                    settings.capabilities().retryAfter());
            assertFalse(settings.capabilities().healthChecks());
            assertEquals(RequestClasses.ALL.size(), settings.classes().size());
            for (int i = 0; i < RequestClasses.ALL.size(); i++) {
                assertEquals(
                        RequestClasses.of(i).semantics(), settings.classes().get(i).idempotency());
                assertTrue(
                        !RequestClasses.of(i).keyed()
                                || RequestClasses.of(i).scope()
                                        == settings.classes().get(i).deduplicationScope());
                assertEquals(
                        plan.deadline(RequestClasses.of(i)),
                        settings.classes().get(i).deadlineNanos());
            }
        }
    }
}
