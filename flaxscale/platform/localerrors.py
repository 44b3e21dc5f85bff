"""Errors of system calls that concern this machine alone and say nothing about the remote server."""

import errno

# Descriptors, memory, buffers or local ports have run out, or the call was interrupted or not permitted here
# (accept(2), socket(2), connect(2), send(2)): the next call may succeed, and no server is involved.
LOCAL_ERRNOS = frozenset(
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
    """Whether an OSError was caused by this machine alone."""
    return getattr(error, "errno", None) in LOCAL_ERRNOS
