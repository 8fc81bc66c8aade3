package appleridge.http1;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A client's request is invalid: it is answered at once and not sent to an upstream. The message is
 * the text of the response. Has no stack trace, because clients can cause any number of these.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final HttpMethod[] NO_METHODS = {};

    /** The kinds of invalid requests. */
    enum Problem {
        UNKNOWN_PATH(HttpResponseStatus.NOT_FOUND),
        METHOD_NOT_ALLOWED(HttpResponseStatus.METHOD_NOT_ALLOWED),
        REPEATED_HEADER(HttpResponseStatus.BAD_REQUEST),
        MISSING_HEADER(HttpResponseStatus.BAD_REQUEST),
        UNKNOWN_HEADER_VALUE(HttpResponseStatus.BAD_REQUEST),
        HEADER_OUT_OF_RANGE(HttpResponseStatus.BAD_REQUEST);

        private final HttpResponseStatus status;

        Problem(HttpResponseStatus status) {
            this.status = status;
        }
    }

    private final Problem problem;
    private final transient HttpMethod[] allowedMethods;

    private InvalidRequestException(Problem problem, String message, HttpMethod... allowedMethods) {
        super(message, null, false, false);
        this.problem = problem;
        this.allowedMethods = allowedMethods;
    }

    /** Creates an exception with the text of the response. */
    static InvalidRequestException of(Problem problem, String message) {
        return new InvalidRequestException(problem, message, NO_METHODS);
    }

    /** Creates an exception with the text of the response and the methods that are allowed. */
    static InvalidRequestException methodNotAllowed(String message, HttpMethod... allowed) {
        return new InvalidRequestException(Problem.METHOD_NOT_ALLOWED, message, allowed);
    }

    Problem problem() {
        return problem;
    }

    /** The status of the response. */
    HttpResponseStatus status() {
        return problem.status;
    }

    /** The allowed methods; empty unless the method was wrong. */
    HttpMethod[] allowedMethods() {
        return allowedMethods;
    }
}
