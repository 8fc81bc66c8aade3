package appleridge.request;

import java.util.List;

/** An upstream's whole response, in the form of the protocol that read it. */
public interface UpstreamResponse {
    /**
     * The load report that came with it, in the order of the fields; empty if there is none that
     * can be read.
     */
    float[] loadReport(List<String> fields);
}
