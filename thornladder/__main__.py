"""`python -m thornladder`: runs one node with the configuration file that EDGE_CONFIG names."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from collections.abc import Sequence
from functools import partial

import anyio
import structlog

from thornladder import settings
from thornladder.fields import MalformedError
from thornladder.node import service
from thornladder.node.companion import NodeExtension
from thornladder.node.log_output import LogOutput
from thornladder.node.messages import EMPTY_LIST, decode_list
from thornladder.node.termination import HANDLED_SIGNALS


def configure_json_logging() -> None:
    """Makes structlog write JSON lines to standard error, from level INFO on."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(LogOutput()),
        cache_logger_on_first_use=True,
    )


def main(extensions: Sequence[NodeExtension] = ()) -> int:
    """Runs one node until it exits and returns the exit code.

    0: clean exit; 1: OS error, such as an address in use; 2: missing or malformed configuration.
    """
    # Blocked until the node handles them: any of them would terminate a process that is still starting, with
    # the connections that the kernel has accepted for it.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    path = os.environ.get("EDGE_CONFIG", "")
    if not path:
        print("thornladder: EDGE_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        config = settings.load(path, os.environ)
        initial_list = decode_list(config.known) if config.known else EMPTY_LIST
    except MalformedError as error:
        print(f"thornladder: {path}: {error}", file=sys.stderr)
        return 2
    configure_json_logging()
    # All objects allocated so far live until exit, so the garbage collector need not scan them again.
    gc.freeze()
    try:
        log = structlog.get_logger()
        anyio.run(
            service.run,
            config,
            initial_list,
            log,
            path,
            extensions,
            partial(os._exit, 0),
            backend_options={"use_uvloop": True},
        )
    except OSError as error:
        print(f"thornladder: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
