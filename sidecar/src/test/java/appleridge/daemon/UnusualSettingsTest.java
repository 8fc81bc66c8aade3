package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Valid but rarely used settings: requests are served with each of them. */
@Timeout(600)
class UnusualSettingsTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** Replacements in the default settings: regular expressions to their replacement texts. */
    private static Map<String, String> replacements() {
        Map<String, String> replacements = new LinkedHashMap<>();
        replacements.put("\"parties\":\\[[^]]*\\]", "\"parties\":[]");
        replacements.put("\"parties\":\\[[^]]*\\],", "");
        replacements.put("\"quotaRps\":1000.0", "\"quotaRps\":0");
        replacements.put("\"portion\":1.0", "\"portion\":0");
        replacements.put(
                "\"zones\":\\[\"a\",\"b\"\\],\"kinds\":\\[\"m1\"\\]", "\"zones\":[],\"kinds\":[]");
        replacements.put("\"zones\":\\[\"a\",\"b\"\\],\"kinds\":\\[\"m1\"\\],", "");
        replacements.put("\"tryLimit\":6", "\"tryLimit\":1");
        replacements.put("\"tryLimit\":6,", "");
        replacements.put("\"mayCancel\":true,", "");
        replacements.put("\"retryAfter\":true", "\"retryAfter\":false");
        replacements.put("\"maxRetryAfter\":750000000", "\"maxRetryAfter\":0");
        replacements.put("\"connectTimeout\":500000000", "\"connectTimeout\":1");
        replacements.put("\"connectTimeout\":500000000,", "\"connectTimeout\":3000000000000000,");
        replacements.put("\"connIdle\":[0-9]*", "\"connIdle\":9000000000000000000");
        replacements.put("\"connIdle\":[0-9]*,", "\"connIdle\":1,");
        replacements.put("\"maxOpen\":[0-9]*", "\"maxOpen\":1");
        replacements.put(",\"maxOpen\":[0-9]*", "");
        replacements.put("\"keyTtl\":5000000000", "\"keyTtl\":0");
        replacements.put(",\"keyScope\":\"all\"", "");
        replacements.put(
                "\"slo\":1000000000,\"deadline\":3000000000",
                "\"slo\":1,\"deadline\":9000000000000000000");
        replacements.put("\"slo\":1000000000", "\"slo\":3000000000");
        replacements.put("\"worth\":1.0", "\"worth\":0");
        replacements.put("\"quantum\":5000000", "\"quantum\":0");
        replacements.put("\"quantum\":5000000,", "\"quantum\":60000000000,");
        replacements.put("\"replicasOfMe\":1,", "\"replicasOfMe\":10000,");
        replacements.put("\"rank\":0,\"replicasOfMe\":1,\"zone\":0,", "");
        replacements.put("\"report\":[^}]*},", "");
        replacements.put("\"stopSendingWithin\":2000000000", "\"stopSendingWithin\":0");
        replacements.put(
                "\"stopSendingWithin\":2000000000,", "\"stopSendingWithin\":9000000000000000000,");
        replacements.put("\"answerSlack\":20000000", "\"answerSlack\":0");
        replacements.put("\"askWithin\":[0-9]*", "\"askWithin\":9000000000000000000");
        replacements.put("\"askWithin\":[0-9]*,", "\"askWithin\":100000000,");
        replacements.put("\"coldShare\":0.4", "\"coldShare\":1");
        replacements.put("\"coldShare\":0.4,", "\"coldShare\":0.000001,");
        replacements.put("\"rampTime\":7000000000", "\"rampTime\":0");
        replacements.put("\"rampTime\":7000000000,", "\"rampTime\":9000000000000000000,");
        replacements.put("\"overloadFactor\":4.0", "\"overloadFactor\":1");
        replacements.put("\"tipAfter\":1500000000", "\"tipAfter\":0");
        replacements.put("\"sockets\":1024", "\"sockets\":64");
        replacements.put("\"limits\":\\{\"sockets\":1024\\},", "");
        replacements.put("\"known\":", "\"unknown\":");
        return replacements;
    }

    @Test
    void requestsAreServedWithUnusualSettings() throws Exception {
        List<String> failures = new ArrayList<>();
        try (StubUpstream one = new StubUpstream(GOOD)) {
            for (Map.Entry<String, String> each : replacements().entrySet()) {
                String replacement = each.getKey() + " -> " + each.getValue();
                try (LoopbackSidecar sidecar =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                null,
                                json -> {
                                    String changed =
                                            json.replaceAll(each.getKey(), each.getValue());
                                    assertNotEquals(json, changed, replacement);
                                    return changed;
                                },
                                LoopbackSidecar.targets(one))) {
                    if (each.getValue().contains("unknown")) {
                        sidecar.discovery.nextRequest();
                        sidecar.queueList(
                                LoopbackSidecar.list(1, true, LoopbackSidecar.targets(one)));
                        sidecar.discovery.nextRequest();
                    }
                    for (String name : new String[] {"read", "write", "hold", "pay", "slow"}) {
                        String response = sidecar.exchange(TestClient.request(name, "3.0"));
                        if (TestClient.status(response) != 200) {
                            failures.add(
                                    replacement
                                            + ": "
                                            + name
                                            + ": "
                                            + response.lines().findFirst().orElse(""));
                        }
                    }
                } catch (Exception | AssertionError e) {
                    failures.add(replacement + ": " + e);
                }
            }
        }
        assertEquals(List.of(), failures);
    }
}
