"""The fleet file. Without one a node takes no part in membership and opens no socket for it."""

from __future__ import annotations

import msgspec

from thornladder import toml
from thornladder.fields import MalformedError
from thornladder.membership.wire import split_address


class FleetConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The fields of the TOML file. Addresses are host:port and serve both UDP and TCP."""

    fleet: str  # messages of other fleets are ignored
    listen: str
    advertise: str = ""  # where others reach this member, if not at `listen`
    seeds: list[str] = []  # members to join through; one is enough, and they may be down at the start
    zone: str = ""
    hold: float = 300.0  # seconds for which a lost member still counts, since it may still be serving
    lower_after: float = 5.0  # seconds that a lower number of nodes must last before it is used


def load(path: str) -> FleetConfig:
    """Reads and checks a fleet file. Raises MalformedError with one line that names the field."""
    config = toml.read(path, FleetConfig)
    for field, text in (("listen", config.listen), ("advertise", config.advertise or config.listen)):
        if split_address(text) is None:
            raise MalformedError(f"{field}: {text!r} is not an address and port")
    if malformed := next((seed for seed in config.seeds if split_address(seed) is None), None):
        raise MalformedError(f"seeds: {malformed!r} is not an address and port")
    if not config.fleet:
        raise MalformedError("fleet must not be empty")
    if config.hold < 0.0 or config.lower_after < 0.0:
        raise MalformedError("hold and lower_after must not be negative")
    return config
