"""What the parts of a node's work are charged for, in bytes, before they take it.

A charge is an estimate. The measure (`memory.monitor`) corrects what they miss.
"""

from __future__ import annotations

KIBIBYTE = 1024
# One connection with its tasks, its parser, one small read and a small message in each direction.
CONNECTION_BYTES = 32 * KIBIBYTE
QUEUED_BYTES = 16 * KIBIBYTE  # what a connection has sent that is not accepted yet
BACKEND_BYTES = 4 * KIBIBYTE  # what a listed backend costs: its entry and what is known of it
HEAD_BYTES = 64 * KIBIBYTE  # an unfinished request head that is no small one, unparsed and parsed
BUFFERED_COPIES = 2  # of a buffered body: as it was read, and put together
# A body without a length until it is streamed: it is here twice, with one read beyond it.
CHUNKED_BODY_BYTES = (2 * 64 + 32) * KIBIBYTE
# A streamed body: a part in passing, one in each transport, and as much again in the parser.
BODY_PIPE_BYTES = 4 * 32 * KIBIBYTE
