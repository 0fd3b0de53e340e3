"""What both sides need of a TCP stream."""

from __future__ import annotations

import select

import anyio
from anyio.abc import SocketAttribute, SocketStream

# The other side has ended the stream, or this one has.
BROKEN = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def readable(stream: SocketStream) -> bool:
    """Whether the kernel holds bytes, or the end, that nobody has read yet."""
    descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
    if descriptor < 0:
        return False
    watch = select.poll()
    watch.register(descriptor, select.POLLIN)
    return bool(watch.poll(0))
