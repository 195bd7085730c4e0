/* Fault injection: steps the wall clock of the one process it is loaded into (LD_PRELOAD), and leaves its monotonic
 * clock alone. The file that WALL_CLOCK_STEP names holds one number of 8 bytes, the microseconds to step by, which the
 * test changes while the process runs. In C, as the workspace forbids unsafe Rust. */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define SECOND_US 1000000
#define US_NS 1000

static const volatile int64_t *step_us;

__attribute__((constructor)) static void map_step(void) {
    const char *path = getenv("WALL_CLOCK_STEP");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    void *mapped = file < 0 ? MAP_FAILED : mmap(NULL, sizeof *step_us, PROT_READ, MAP_SHARED, file, 0);
    if (mapped == MAP_FAILED)
        abort(); /* a test that steps nothing must not pass */
    close(file);
    step_us = mapped;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && step_us && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t unix_us = (int64_t)time->tv_sec * SECOND_US + time->tv_nsec / US_NS + *step_us;
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
