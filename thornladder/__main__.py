"""`python -m thornladder`: one node on sockets, as the file named by EDGE_CONFIG says."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from collections.abc import Sequence

import anyio
import structlog

from thornladder import settings
from thornladder.fields import MalformedError
from thornladder.node import service
from thornladder.node.companion import Companion
from thornladder.node.messages import NO_LIST, decode_list


def configure_json_logging() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def main(companions: Sequence[Companion] = ()) -> int:
    """Runs one node to its end; its exit code: 0 ended in order, 1 no address to be had, 2 a bad file."""
    # Kept back until the node heeds it: it would end a program that is still starting.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    path = os.environ.get("EDGE_CONFIG", "")
    if not path:
        print("thornladder: EDGE_CONFIG names no file", file=sys.stderr)
        return 2
    try:
        config = settings.load(path, os.environ)
        known = decode_list(config.known) if config.known else NO_LIST
    except MalformedError as error:
        print(f"thornladder: {path}: {error}", file=sys.stderr)
        return 2
    configure_json_logging()
    # What stands now stands to the end: no collection goes through it again.
    gc.freeze()
    try:
        log = structlog.get_logger()
        anyio.run(service.run, config, known, log, path, companions, backend_options={"use_uvloop": True})
    except OSError as error:
        print(f"thornladder: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
