/*
 * A library to be preloaded into a process: makes its system calls fail with the errors that Linux documents, and
 * steps its wall clock.
 *
 * The test and this library map the same control file, whose path is in the environment variable SYSTEM_FAULTS. It
 * holds 64-bit words in native byte order; SystemFaults.java describes them. Fault rates are in calls per thousand.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum word { WALL_SECONDS, ACCEPT, SOCKET, CONNECT, WAIT, READ, SHORT, BREAK, BROKEN_PORT };
enum { ERRNO_OFFSET = 16, COUNT_OFFSET = 32, WORDS = 64, RATE_BASE = 1000, SHORT_IO_BYTES = 7 };

static volatile int64_t *control;
static __thread uint64_t random_state;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SYSTEM_FAULTS");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file >= 0) {
        void *mapped = mmap(NULL, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        control = mapped == MAP_FAILED ? NULL : mapped;
        close(file);
    }
}

/* Decides at random, by the rate of the fault, whether this call fails; counts the failures. */
static int should_fail(enum word fault) {
    if (control == NULL || control[fault] == 0) {
        return 0;
    }
    if (random_state == 0) {
        random_state = 88172645463325252ULL ^ (uint64_t) (uintptr_t) &random_state;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    if ((int64_t) (random_state % RATE_BASE) >= control[fault]) {
        return 0;
    }
    __atomic_add_fetch(&control[COUNT_OFFSET + fault], 1, __ATOMIC_RELAXED);
    return 1;
}

/* Sets errno to the error configured for the fault; returns -1. */
static int fail_with_errno(enum word fault) {
    errno = (int) control[ERRNO_OFFSET + fault];
    return -1;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_internet(int fd) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    return getsockname(fd, (struct sockaddr *) &address, &length) == 0
        && (address.ss_family == AF_INET || address.ss_family == AF_INET6);
}

/* Whether the socket is connected to the port whose connections are to break. */
static int is_connected_to_broken_port(int fd) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    if (getpeername(fd, (struct sockaddr *) &address, &length) != 0) {
        return 0;
    }
    int port = address.ss_family == AF_INET6 ? ntohs(((struct sockaddr_in6 *) &address)->sin6_port)
        : ntohs(((struct sockaddr_in *) &address)->sin_port);
    return port == control[BROKEN_PORT];
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (real == NULL) { real = (type (*)(__VA_ARGS__)) dlsym(RTLD_NEXT, name); }

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, "clock_gettime", clockid_t, struct timespec *)
    int result = real(clock, now);
    if (result == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        now->tv_sec += control[WALL_SECONDS];
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(int, "gettimeofday", struct timeval *, void *)
    int result = real(now, zone);
    if (result == 0 && control != NULL) {
        now->tv_sec += control[WALL_SECONDS];
    }
    return result;
}

time_t time(time_t *into) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (into != NULL) {
        *into = now.tv_sec;
    }
    return now.tv_sec;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, "accept", int, struct sockaddr *, socklen_t *)
    return should_fail(ACCEPT) ? fail_with_errno(ACCEPT) : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
    return should_fail(ACCEPT) ? fail_with_errno(ACCEPT) : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int)
    int internet = domain == AF_INET || domain == AF_INET6;
    return internet && should_fail(SOCKET) ? fail_with_errno(SOCKET) : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t)
    return is_internet(fd) && should_fail(CONNECT) ? fail_with_errno(CONNECT) : real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
    return should_fail(WAIT) ? fail_with_errno(WAIT) : real(fd, events, most, timeout);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    REAL(int, "poll", struct pollfd *, nfds_t, int)
    return should_fail(WAIT) ? fail_with_errno(WAIT) : real(fds, count, timeout);
}

ssize_t read(int fd, void *into, size_t length) {
    REAL(ssize_t, "read", int, void *, size_t)
    if (control == NULL || !(control[READ] || control[SHORT] || control[BREAK]) || !is_socket(fd)) {
        return real(fd, into, length);
    }
    if (is_connected_to_broken_port(fd) && should_fail(BREAK)) {
        shutdown(fd, SHUT_RDWR);
        return fail_with_errno(BREAK);
    }
    if (should_fail(READ)) {
        return fail_with_errno(READ);
    }
    return real(fd, into, length > SHORT_IO_BYTES && should_fail(SHORT) ? SHORT_IO_BYTES : length);
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(ssize_t, "write", int, const void *, size_t)
    if (control == NULL || !(control[READ] || control[SHORT]) || !is_socket(fd)) {
        return real(fd, from, length);
    }
    if (should_fail(READ)) {
        return fail_with_errno(READ);
    }
    return real(fd, from, length > SHORT_IO_BYTES && should_fail(SHORT) ? SHORT_IO_BYTES : length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int)
    if (control == NULL || !(control[READ] || control[SHORT]) || !is_socket(fd)) {
        return real(fd, parts, count);
    }
    if (should_fail(READ)) {
        return fail_with_errno(READ);
    }
    return count > 1 && should_fail(SHORT) ? real(fd, parts, 1) : real(fd, parts, count);
}
