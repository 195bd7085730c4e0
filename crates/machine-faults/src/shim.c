/* Faults of the operating system in the one process that this library is loaded into (LD_PRELOAD): its wall clock is
 * stepped, its monotonic clock left alone, and system calls fail as Linux documents them. What is to fail stands in the
 * file that MACHINE_FAULTS names, which the test changes while the process runs (lib.rs has its layout); what
 * failed is counted there. In C, as the workspace forbids unsafe Rust. */
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

/* Calls that fail, in the order of lib.rs. */
enum call { ACCEPT, SOCKET, CONNECT, SHORT_READ, SHORT_WRITE, BROKEN_READ, CALLS };

struct control {
    int64_t step_us;          /* by which the wall clock is ahead */
    int64_t seed;             /* of what is drawn */
    int64_t permille[CALLS];  /* how many of a thousand calls fail */
    int64_t failed[CALLS];    /* how many did */
    int64_t left[CALLS];      /* how many more may */
};

static volatile struct control *control;
static uint64_t draws;

#define MOST_FILES 4096
static unsigned char dialled[MOST_FILES]; /* connections that the process began: those that break */

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("MACHINE_FAULTS");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    void *mapped =
        file < 0 ? MAP_FAILED : mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped == MAP_FAILED)
        abort(); /* a test whose faults are not injected must not pass */
    close(file);
    control = mapped;
}

/* The next number drawn (splitmix64); the front has one thread that makes these calls. */
static uint64_t draw(void) {
    uint64_t z = (uint64_t)control->seed + ++draws * 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

/* Whether this call fails; then it is counted. */
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
