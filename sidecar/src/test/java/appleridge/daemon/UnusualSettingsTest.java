package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Settings that are legal, though few customers have them: with each of them requests are served.
 */
@Timeout(600)
class UnusualSettingsTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** What is replaced in the usual settings, and by what; both may be regular expressions. */
    private static Map<String, String> odd() {
        Map<String, String> odd = new LinkedHashMap<>();
        odd.put("\"parties\":\\[[^]]*\\]", "\"parties\":[]");
        odd.put("\"parties\":\\[[^]]*\\],", "");
        odd.put("\"quotaRps\":1000.0", "\"quotaRps\":0");
        odd.put("\"portion\":1.0", "\"portion\":0");
        odd.put("\"zones\":\\[\"a\",\"b\"\\],\"kinds\":\\[\"m1\"\\]", "\"zones\":[],\"kinds\":[]");
        odd.put("\"zones\":\\[\"a\",\"b\"\\],\"kinds\":\\[\"m1\"\\],", "");
        odd.put("\"tryLimit\":6", "\"tryLimit\":1");
        odd.put("\"tryLimit\":6,", "");
        odd.put("\"mayCancel\":true,", "");
        odd.put("\"retryAfter\":true", "\"retryAfter\":false");
        odd.put("\"maxRetryAfter\":750000000", "\"maxRetryAfter\":0");
        odd.put("\"connectTimeout\":500000000", "\"connectTimeout\":1");
        odd.put("\"connectTimeout\":500000000,", "\"connectTimeout\":3000000000000000,");
        odd.put("\"connIdle\":[0-9]*", "\"connIdle\":9000000000000000000");
        odd.put("\"connIdle\":[0-9]*,", "\"connIdle\":1,");
        odd.put("\"maxOpen\":[0-9]*", "\"maxOpen\":1");
        odd.put(",\"maxOpen\":[0-9]*", "");
        odd.put("\"keyTtl\":5000000000", "\"keyTtl\":0");
        odd.put(",\"keyScope\":\"all\"", "");
        odd.put(
                "\"slo\":1000000000,\"deadline\":3000000000",
                "\"slo\":1,\"deadline\":9000000000000000000");
        odd.put("\"slo\":1000000000", "\"slo\":3000000000");
        odd.put("\"worth\":1.0", "\"worth\":0");
        odd.put("\"quantum\":5000000", "\"quantum\":0");
        odd.put("\"quantum\":5000000,", "\"quantum\":60000000000,");
        odd.put("\"replicasOfMe\":1,", "\"replicasOfMe\":10000,");
        odd.put("\"rank\":0,\"replicasOfMe\":1,\"zone\":0,", "");
        odd.put("\"report\":[^}]*},", "");
        odd.put("\"stopSendingWithin\":2000000000", "\"stopSendingWithin\":0");
        odd.put("\"stopSendingWithin\":2000000000,", "\"stopSendingWithin\":9000000000000000000,");
        odd.put("\"answerSlack\":20000000", "\"answerSlack\":0");
        odd.put("\"askWithin\":[0-9]*", "\"askWithin\":9000000000000000000");
        odd.put("\"askWithin\":[0-9]*,", "\"askWithin\":100000000,");
        odd.put("\"coldShare\":0.4", "\"coldShare\":1");
        odd.put("\"coldShare\":0.4,", "\"coldShare\":0.000001,");
        odd.put("\"rampTime\":7000000000", "\"rampTime\":0");
        odd.put("\"rampTime\":7000000000,", "\"rampTime\":9000000000000000000,");
        odd.put("\"overloadFactor\":4.0", "\"overloadFactor\":1");
        odd.put("\"tipAfter\":1500000000", "\"tipAfter\":0");
        odd.put("\"sockets\":1024", "\"sockets\":64");
        odd.put("\"limits\":\\{\"sockets\":1024\\},", "");
        odd.put("\"known\":", "\"unknown\":");
        return odd;
    }

    @Test
    void requestsAreServedWithUnusualSettings() throws Exception {
        List<String> wrong = new ArrayList<>();
        try (StubUpstream one = new StubUpstream(GOOD)) {
            for (Map.Entry<String, String> each : odd().entrySet()) {
                String how = each.getKey() + " -> " + each.getValue();
                try (LoopbackSidecar host =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                null,
                                json -> {
                                    String changed =
                                            json.replaceAll(each.getKey(), each.getValue());
                                    assertNotEquals(json, changed, how);
                                    return changed;
                                },
                                LoopbackSidecar.targets(one))) {
                    if (each.getValue().contains("unknown")) {
                        host.discovery.nextRequest();
                        host.queueList(LoopbackSidecar.list(1, true, LoopbackSidecar.targets(one)));
                        host.discovery.nextRequest();
                    }
                    for (String name : new String[] {"read", "write", "hold", "pay", "slow"}) {
                        String answer = host.exchange(TestClient.request(name, "3.0"));
                        if (TestClient.status(answer) != 200) {
                            wrong.add(
                                    how
                                            + ": "
                                            + name
                                            + ": "
                                            + answer.lines().findFirst().orElse(""));
                        }
                    }
                } catch (Exception | AssertionError e) {
                    wrong.add(how + ": " + e);
                }
            }
        }
        assertEquals(List.of(), wrong);
    }
}
