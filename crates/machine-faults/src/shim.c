/* Injects faults of the operating system into the one process that preloads this library (LD_PRELOAD): the wall clock
 * is stepped, while the monotonic clock is not changed, and system calls fail in the ways that Linux documents. The
 * control file named by MACHINE_FAULTS sets the failure rates and counts the failures; the test changes it while the
 * process runs, and lib.rs defines its layout. Written in C because the workspace forbids unsafe Rust. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define SECOND_US 1000000
#define US_NS 1000
#define PERMILLE 1000

/* The calls that can fail, in the same order as in lib.rs. */
enum call { ACCEPT, SOCKET, CONNECT, SHORT_READ, SHORT_WRITE, BROKEN_READ, CALLS };

struct control {
    int64_t step_us;          /* offset of the wall clock */
    int64_t seed;             /* of the random numbers */
    int64_t permille[CALLS];  /* failure rate in thousandths */
    int64_t failed[CALLS];    /* number of failures so far */
    int64_t left[CALLS];      /* number of failures still allowed */
};

static volatile struct control *control;
static uint64_t draws;

#define MOST_FILES 4096
static unsigned char dialled[MOST_FILES]; /* by descriptor: 1 if the process opened the connection, which may break */

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("MACHINE_FAULTS");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    void *mapped =
        file < 0 ? MAP_FAILED : mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped == MAP_FAILED)
        abort(); /* without injected faults a test must not pass */
    close(file);
    control = mapped;
}

/* Returns the next random number (splitmix64). Not thread-safe: only one thread of a front makes these calls. */
static uint64_t draw(void) {
    uint64_t z = (uint64_t)control->seed + ++draws * 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

/* Decides whether this call fails, and counts the failure. */
static int fails(enum call call) {
    if (!control || control->permille[call] == 0 || control->left[call] <= 0)
        return 0;
    if ((int64_t)(draw() % PERMILLE) >= control->permille[call])
        return 0;
    control->left[call]--;
    control->failed[call]++;
    return 1;
}

static int fail_with(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}

#define FAIL(...)                                                                                                     \
    do {                                                                                                              \
        static const int errors[] = {__VA_ARGS__};                                                                    \
        return fail_with(errors, sizeof errors / sizeof *errors);                                                     \
    } while (0)

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t unix_us = (int64_t)time->tv_sec * SECOND_US + time->tv_nsec / US_NS + control->step_us;
        time->tv_sec = unix_us / SECOND_US;
        time->tv_nsec = unix_us % SECOND_US * US_NS;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / US_NS;
    return 0;
}

time_t time(time_t *seconds) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds)
        *seconds = now.tv_sec;
    return now.tv_sec;
}

int accept4(int listener, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    if (fails(ACCEPT))
        FAIL(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO);
    int file = syscall(SYS_accept4, listener, address, length, flags);
    if (file >= 0 && file < MOST_FILES)
        dialled[file] = 0;
    return file;
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails(SOCKET))
        FAIL(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    return syscall(SYS_socket, domain, type, protocol);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    if (fails(CONNECT))
        FAIL(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EHOSTUNREACH);
    if (socket >= 0 && socket < MOST_FILES)
        dialled[socket] = 1;
    return syscall(SYS_connect, socket, address, length);
}

static int is_stream(int file) {
    int type = 0;
    socklen_t length = sizeof type;
    return getsockopt(file, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

static size_t shortened(enum call call, int file, size_t length) {
    return length > 1 && is_stream(file) && fails(call) ? 1 + draw() % (length - 1) : length;
}

ssize_t recv(int file, void *buffer, size_t length, int flags) {
    if (file >= 0 && file < MOST_FILES && dialled[file] && fails(BROKEN_READ)) {
        shutdown(file, SHUT_RDWR);
        FAIL(ETIMEDOUT, EHOSTUNREACH);
    }
    return syscall(SYS_recvfrom, file, buffer, shortened(SHORT_READ, file, length), flags, NULL, NULL);
}

ssize_t send(int file, const void *buffer, size_t length, int flags) {
    return syscall(SYS_sendto, file, buffer, shortened(SHORT_WRITE, file, length), flags, NULL, 0);
}
