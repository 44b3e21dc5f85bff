"""Which errors of system calls speak of this machine alone, and so say nothing of the server at the other end."""

import errno

# Descriptors, memory, buffers or local ports have run out, or the call was interrupted (accept(2), socket(2),
# connect(2), send(2)): the next call may work, and no server had a part in it.
LOCAL = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EPERM,
        errno.EACCES,
    }
)


def is_local(error: BaseException | None) -> bool:
    """Whether an OSError is this machine's own."""
    return getattr(error, "errno", None) in LOCAL
