/*
 * Makes system calls of one process fail for a while. Loaded with LD_PRELOAD into a process of the lab; it
 * stands before the C library's functions and otherwise passes each call on.
 *
 * What fails is read from a file that is mapped into memory and that the lab changes while the process runs:
 * for each kind of call and each effect, how many calls in a million have it. The library counts there what
 * it has injected. Only sockets, and files whose path contains one of the texts of
 * SYSTEM_CALL_FAULT_FILES (separated by colons), are affected.
 *
 * Effects are what a kernel can do: a socket whose read or write fails with ETIMEDOUT or EHOSTUNREACH is shut
 * down for good, and a read fails so only once everything received has been read.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The order of the calls and of the effects is that of the enums in SystemCallFaults.java. */
enum call { SOCKET, CONNECT, ACCEPT, READ, WRITE, WAIT, OPEN, SYNC, UNLINK, LIST, CALL_COUNT };
enum effect {
    SHORT, INTERRUPTED, ABORTED, TABLE_FULL, TOO_MANY, NO_BUFFERS, NO_MEMORY, NO_ADDRESS, NO_NETWORK,
    TIMED_OUT, NO_HOST, NO_SPACE, IO_ERROR, EFFECT_COUNT
};

static const int effect_errno[EFFECT_COUNT] = {
    0, EINTR, ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT,
    EHOSTUNREACH, ENOSPC, EIO
};

struct control {
    volatile int64_t wall_clock_offset_ms;
    volatile int64_t seed;
    volatile int64_t per_million[CALL_COUNT][EFFECT_COUNT];
    volatile int64_t injected[CALL_COUNT][EFFECT_COUNT];
};

enum descriptor_kind { OTHER, CONNECTING, ACCEPTED, FILE_UNDER_TEST };
#define MAX_DESCRIPTORS 65536
#define SHORT_TRANSFER_BYTES 8

static struct control *control;
static const char *file_patterns;
static unsigned char descriptor_kinds[MAX_DESCRIPTORS];
static volatile uint64_t draw_count;

#define REAL(name) static __typeof__(&name) real_##name
REAL(socket); REAL(connect); REAL(accept); REAL(accept4); REAL(close);
REAL(read); REAL(recv); REAL(readv); REAL(write); REAL(send); REAL(writev); REAL(sendmsg);
REAL(epoll_wait); REAL(dup); REAL(fsync); REAL(fdatasync); REAL(unlink); REAL(readdir64);
REAL(clock_gettime); REAL(gettimeofday);
static int (*real_open)(const char *, int, ...);
static int (*real_open64)(const char *, int, ...);
static struct dirent *(*real_readdir)(DIR *);

/* Runs before the first call, which may come from the constructor of another library. */
__attribute__((constructor)) static void load(void) {
    if (real_gettimeofday != NULL) {
        return;
    }
#define FIND(name) real_##name = (__typeof__(real_##name)) dlsym(RTLD_NEXT, #name)
    FIND(socket); FIND(connect); FIND(accept); FIND(accept4); FIND(close);
    FIND(read); FIND(recv); FIND(readv); FIND(write); FIND(send); FIND(writev); FIND(sendmsg);
    FIND(epoll_wait); FIND(dup); FIND(fsync); FIND(fdatasync); FIND(unlink); FIND(readdir64); FIND(readdir);
    FIND(clock_gettime); FIND(open); FIND(open64); FIND(gettimeofday);
    file_patterns = getenv("SYSTEM_CALL_FAULT_FILES");
    const char *path = getenv("SYSTEM_CALL_FAULTS");
    if (path == NULL) {
        return;
    }
    int descriptor = real_open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    real_close(descriptor);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

/* The next number of a sequence that depends on the seed only (SplitMix64). */
static uint64_t draw(void) {
    uint64_t z = (uint64_t) control->seed
        + __atomic_add_fetch(&draw_count, 1, __ATOMIC_RELAXED) * 0x9E3779B97F4A7C15ULL;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
}

/* Whether a call is to have an effect; counts it where it is. */
static int has_effect(enum call call, enum effect effect) {
    if (control == NULL || control->per_million[call][effect] == 0
        || (int64_t) (draw() % 1000000) >= control->per_million[call][effect]) {
        return 0;
    }
    __atomic_add_fetch((int64_t *) &control->injected[call][effect], 1, __ATOMIC_RELAXED);
    return 1;
}

/* The error with which a call is to fail, or 0; breaking effects are left to the caller. */
static int drawn_error(enum call call) {
    for (int effect = INTERRUPTED; control != NULL && effect < EFFECT_COUNT; effect++) {
        int breaks = (call == READ || call == WRITE) && (effect == TIMED_OUT || effect == NO_HOST);
        if (!breaks && has_effect(call, effect)) {
            return effect_errno[effect];
        }
    }
    return 0;
}

static enum descriptor_kind kind_of(int descriptor) {
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS ? descriptor_kinds[descriptor] : OTHER;
}

static void set_kind(int descriptor, enum descriptor_kind kind) {
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) {
        descriptor_kinds[descriptor] = kind;
    }
}

static int is_file_under_test(const char *path) {
    char patterns[1024];
    if (file_patterns == NULL || path == NULL || strlen(file_patterns) >= sizeof(patterns)) {
        return 0;
    }
    strcpy(patterns, file_patterns);
    char *rest = patterns;
    for (char *pattern = strsep(&rest, ":"); pattern != NULL; pattern = strsep(&rest, ":")) {
        if (*pattern != 0 && strstr(path, pattern) != NULL) {
            return 1;
        }
    }
    return 0;
}

/* Ends a connection that the node itself opened, as a kernel does that gives up resending. */
static int drawn_break(enum call call, int descriptor) {
    if (kind_of(descriptor) != CONNECTING) {
        return 0;
    }
    for (int effect = TIMED_OUT; effect <= NO_HOST; effect++) {
        if (has_effect(call, effect)) {
            shutdown(descriptor, SHUT_RDWR);
            return effect_errno[effect];
        }
    }
    return 0;
}

/* Shows the reset of a connection as another of the errors that a broken connection has. */
static int broken_error(enum call call, int error) {
    if (error == ECONNRESET && has_effect(call, TIMED_OUT)) {
        return ETIMEDOUT;
    }
    return error == ECONNRESET && has_effect(call, NO_HOST) ? EHOSTUNREACH : error;
}

static int fail(int error) {
    errno = error;
    return -1;
}

/* ---- sockets ---- */

int socket(int domain, int type, int protocol) {
    load();
    int error = (domain == AF_INET || domain == AF_INET6) ? drawn_error(SOCKET) : 0;
    if (error != 0) {
        return fail(error);
    }
    int descriptor = real_socket(domain, type, protocol);
    set_kind(descriptor, domain == AF_INET || domain == AF_INET6 ? CONNECTING : OTHER);
    return descriptor;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    load();
    int error = kind_of(descriptor) == CONNECTING ? drawn_error(CONNECT) : 0;
    return error != 0 ? fail(error) : real_connect(descriptor, address, length);
}

int accept4(int listener, struct sockaddr *address, socklen_t *length, int flags) {
    load();
    int error = drawn_error(ACCEPT);
    if (error != 0) {
        return fail(error);
    }
    int descriptor = real_accept4(listener, address, length, flags);
    set_kind(descriptor, ACCEPTED);
    return descriptor;
}

int accept(int listener, struct sockaddr *address, socklen_t *length) {
    load();
    int error = drawn_error(ACCEPT);
    if (error != 0) {
        return fail(error);
    }
    int descriptor = real_accept(listener, address, length);
    set_kind(descriptor, ACCEPTED);
    return descriptor;
}

int close(int descriptor) {
    load();
    set_kind(descriptor, OTHER);
    return real_close(descriptor);
}

int dup(int descriptor) {
    load();
    int copy = real_dup(descriptor);
    set_kind(copy, kind_of(descriptor));
    return copy;
}

/* ---- reads and writes ---- */

static size_t transfer_length(enum call call, size_t length) {
    return length > 1 && has_effect(call, SHORT)
        ? 1 + draw() % (length - 1 < SHORT_TRANSFER_BYTES ? length - 1 : SHORT_TRANSFER_BYTES) : length;
}

static ssize_t after_read(int descriptor, ssize_t result) {
    if (result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        int error = drawn_break(READ, descriptor);
        return error != 0 ? fail(error) : fail(EAGAIN);
    }
    return result < 0 ? fail(broken_error(READ, errno)) : result;
}

static int is_affected(int descriptor) {
    return control != NULL && kind_of(descriptor) != OTHER;
}

ssize_t read(int descriptor, void *buffer, size_t length) {
    load();
    if (!is_affected(descriptor)) {
        return real_read(descriptor, buffer, length);
    }
    int error = drawn_error(READ);
    return error != 0 ? fail(error)
        : after_read(descriptor, real_read(descriptor, buffer, transfer_length(READ, length)));
}

ssize_t recv(int descriptor, void *buffer, size_t length, int flags) {
    load();
    if (!is_affected(descriptor)) {
        return real_recv(descriptor, buffer, length, flags);
    }
    int error = drawn_error(READ);
    return error != 0 ? fail(error)
        : after_read(descriptor, real_recv(descriptor, buffer, transfer_length(READ, length), flags));
}

ssize_t readv(int descriptor, const struct iovec *vectors, int count) {
    load();
    if (!is_affected(descriptor) || count < 1) {
        return real_readv(descriptor, vectors, count);
    }
    return read(descriptor, vectors[0].iov_base, vectors[0].iov_len);
}

/* The error with which a write fails before any of it, or 0. */
static int write_error(int descriptor) {
    int error = drawn_error(WRITE);
    return error != 0 ? error : drawn_break(WRITE, descriptor);
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
    load();
    if (!is_affected(descriptor)) {
        return real_write(descriptor, buffer, length);
    }
    int error = write_error(descriptor);
    if (error != 0) {
        return fail(error);
    }
    ssize_t result = real_write(descriptor, buffer, transfer_length(WRITE, length));
    return result < 0 ? fail(broken_error(WRITE, errno)) : result;
}

ssize_t send(int descriptor, const void *buffer, size_t length, int flags) {
    load();
    if (!is_affected(descriptor)) {
        return real_send(descriptor, buffer, length, flags);
    }
    int error = write_error(descriptor);
    if (error != 0) {
        return fail(error);
    }
    ssize_t result = real_send(descriptor, buffer, transfer_length(WRITE, length), flags);
    return result < 0 ? fail(broken_error(WRITE, errno)) : result;
}

/* Cuts the buffers short where that is drawn; returns how many of them are left. */
static int cut_vectors(const struct iovec *vectors, int count, struct iovec *cut) {
    size_t total = 0;
    for (int i = 0; i < count; i++) {
        total += vectors[i].iov_len;
    }
    size_t left = transfer_length(WRITE, total);
    int used = 0;
    while (used < count && left > 0) {
        cut[used] = vectors[used];
        cut[used].iov_len = vectors[used].iov_len < left ? vectors[used].iov_len : left;
        left -= cut[used].iov_len;
        used++;
    }
    return used;
}

#define MAX_VECTORS 1024

ssize_t writev(int descriptor, const struct iovec *vectors, int count) {
    load();
    if (!is_affected(descriptor) || count < 1 || count > MAX_VECTORS) {
        return real_writev(descriptor, vectors, count);
    }
    int error = write_error(descriptor);
    if (error != 0) {
        return fail(error);
    }
    struct iovec cut[MAX_VECTORS];
    ssize_t result = real_writev(descriptor, cut, cut_vectors(vectors, count, cut));
    return result < 0 ? fail(broken_error(WRITE, errno)) : result;
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    load();
    if (!is_affected(descriptor) || message->msg_iovlen < 1 || message->msg_iovlen > MAX_VECTORS) {
        return real_sendmsg(descriptor, message, flags);
    }
    int error = write_error(descriptor);
    if (error != 0) {
        return fail(error);
    }
    struct iovec cut[MAX_VECTORS];
    struct msghdr shorter = *message;
    shorter.msg_iov = cut;
    shorter.msg_iovlen = cut_vectors(message->msg_iov, (int) message->msg_iovlen, cut);
    ssize_t result = real_sendmsg(descriptor, &shorter, flags);
    return result < 0 ? fail(broken_error(WRITE, errno)) : result;
}

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout) {
    load();
    int error = drawn_error(WAIT);
    return error != 0 ? fail(error) : real_epoll_wait(descriptor, events, count, timeout);
}

/* ---- files ---- */

static int opened(const char *path, int flags, mode_t mode, int (*real)(const char *, int, ...)) {
    int under_test = control != NULL && is_file_under_test(path);
    int error = under_test ? drawn_error(OPEN) : 0;
    if (error != 0) {
        return fail(error);
    }
    int descriptor = real(path, flags, mode);
    set_kind(descriptor, under_test ? FILE_UNDER_TEST : OTHER);
    return descriptor;
}

static mode_t mode_argument(int flags, va_list arguments) {
    return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
}

int open(const char *path, int flags, ...) {
    load();
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    return opened(path, flags, mode, real_open);
}

int open64(const char *path, int flags, ...) {
    load();
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    return opened(path, flags, mode, real_open64);
}

int fsync(int descriptor) {
    load();
    int error = kind_of(descriptor) == FILE_UNDER_TEST ? drawn_error(SYNC) : 0;
    return error != 0 ? fail(error) : real_fsync(descriptor);
}

int fdatasync(int descriptor) {
    load();
    int error = kind_of(descriptor) == FILE_UNDER_TEST ? drawn_error(SYNC) : 0;
    return error != 0 ? fail(error) : real_fdatasync(descriptor);
}

int unlink(const char *path) {
    load();
    int error = control != NULL && is_file_under_test(path) ? drawn_error(UNLINK) : 0;
    return error != 0 ? fail(error) : real_unlink(path);
}

struct dirent64 *readdir64(DIR *directory) {
    load();
    int error = kind_of(dirfd(directory)) == FILE_UNDER_TEST ? drawn_error(LIST) : 0;
    if (error != 0) {
        errno = error;
        return NULL;
    }
    return real_readdir64(directory);
}

struct dirent *readdir(DIR *directory) {
    load();
    int error = kind_of(dirfd(directory)) == FILE_UNDER_TEST ? drawn_error(LIST) : 0;
    if (error != 0) {
        errno = error;
        return NULL;
    }
    return real_readdir(directory);
}

/* ---- clocks ---- */

int clock_gettime(clockid_t clock, struct timespec *time) {
    load();
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL) {
        int64_t nanos = time->tv_sec * 1000000000LL + time->tv_nsec
            + control->wall_clock_offset_ms * 1000000LL;
        time->tv_sec = nanos / 1000000000LL;
        time->tv_nsec = nanos % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    load();
    int result = real_gettimeofday(time, zone);
    if (result == 0 && control != NULL) {
        int64_t micros = time->tv_sec * 1000000LL + time->tv_usec
            + control->wall_clock_offset_ms * 1000LL;
        time->tv_sec = micros / 1000000LL;
        time->tv_usec = micros % 1000000LL;
    }
    return result;
}
