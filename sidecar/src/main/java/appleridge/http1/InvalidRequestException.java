package appleridge.http1;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * What a client sent makes no sense; it is answered at once, and nothing is sent to an upstream.
 * The message is what the client reads. Without a stack trace, for any client can cause any number.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final HttpMethod[] NO_METHODS = {};

    /** What is wrong with a request. */
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

    /** With the text that the client reads. */
    static InvalidRequestException of(Problem problem, String message) {
        return new InvalidRequestException(problem, message, NO_METHODS);
    }

    /** With the text that the client reads, and the methods that would have been right. */
    static InvalidRequestException methodNotAllowed(String message, HttpMethod... allowed) {
        return new InvalidRequestException(Problem.METHOD_NOT_ALLOWED, message, allowed);
    }

    Problem problem() {
        return problem;
    }

    /** The status with which it is answered. */
    HttpResponseStatus status() {
        return problem.status;
    }

    /** The methods that would have been right; empty unless the method was wrong. */
    HttpMethod[] allowedMethods() {
        return allowedMethods;
    }
}
