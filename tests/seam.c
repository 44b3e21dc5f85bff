/* Fails system calls of a process that has this library loaded before the C library (LD_PRELOAD).
 *
 * SEAM_FILE names a file with one struct slot for each call: how many further calls fail, with which errno, and how many
 * have failed. The test maps the same file and can therefore change faults while the process runs. Slot CLOCK shifts the
 * wall clock by so many seconds.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, SYNC, BIND, SENDTO, CLOCK, SLOTS };

struct slot {
    long left;  /* calls that still fail; of CLOCK: seconds */
    long error; /* errno */
    long seen;  /* calls that failed so far */
};

static volatile struct slot *slots;

__attribute__((constructor)) static void map_file(void) {
    const char *name = getenv("SEAM_FILE");
    int fd = name ? open(name, O_RDWR) : -1;
    if (fd < 0)
        return;
    void *found = mmap(NULL, SLOTS * sizeof(struct slot), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (found != MAP_FAILED)
        slots = found;
}

static int fails(int which) {
    if (!slots || slots[which].left <= 0)
        return 0;
    slots[which].left--;
    slots[which].seen++;
    errno = (int)slots[which].error;
    return 1;
}

static int is_socket(int fd) {
    int kind;
    socklen_t size = sizeof kind;
    int before = errno;
    int found = getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_STREAM;
    errno = before;
    return found;
}

#define REAL(name) __typeof__(&name) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    return fails(ACCEPT) ? -1 : real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    return fails(ACCEPT) ? -1 : real(fd, address, size);
}

int socket(int domain, int kind, int protocol) {
    REAL(socket);
    return fails(SOCKET) ? -1 : real(domain, kind, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    return fails(CONNECT) ? -1 : real(fd, address, size);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(bind);
    return fails(BIND) ? -1 : real(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    return is_socket(fd) && fails(READ) ? -1 : real(fd, data, size);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    return is_socket(fd) && fails(WRITE) ? -1 : real(fd, data, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    return is_socket(fd) && fails(WRITE) ? -1 : real(fd, parts, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    return fails(is_socket(fd) ? WRITE : SENDTO) ? -1 : real(fd, message, flags);
}

ssize_t sendto(int fd, const void *data, size_t size, int flags, const struct sockaddr *to, socklen_t to_size) {
    REAL(sendto);
    return fails(SENDTO) ? -1 : real(fd, data, size, flags, to, to_size);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(WAIT) ? -1 : real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    return fails(WAIT) ? -1 : real(fd, events, most, timeout, mask);
}

int fsync(int fd) {
    REAL(fsync);
    return fails(SYNC) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return fails(SYNC) ? -1 : real(fd);
}

int clock_gettime(clockid_t which, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(which, now);
    if (slots && which == CLOCK_REALTIME)
        now->tv_sec += slots[CLOCK].left;
    return result;
}
