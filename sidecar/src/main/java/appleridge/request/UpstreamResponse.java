package appleridge.request;

import java.util.List;

/** A whole response of an upstream host, in the representation of the protocol that read it. */
public interface UpstreamResponse {
    /**
     * Returns the load report in the response.
     *
     * @param fields the names of the fields to return, in this order
     * @return the values of the fields; empty if there is no valid report
     */
    float[] loadReport(List<String> fields);
}
