"""A fleet's own file: without it a node knows no other and opens no socket for any."""

from __future__ import annotations

import msgspec

from thornladder import toml
from thornladder.fields import MalformedError
from thornladder.membership.wire import split_address


class FleetConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """TOML. Addresses are host:port, for datagrams and connections alike."""

    fleet: str  # members of another fleet's name are passed over
    listen: str
    advertise: str = ""  # where others reach this member, if that is not `listen`
    seeds: list[str] = []  # members to join by; any of them will do, and they may be down at the start
    zone: str = ""
    hold: float = 300.0  # seconds that a member counts on after it is lost: it may still be serving
    lower_after: float = 5.0  # seconds that a lower number of nodes has to last before the node goes by it


def load(path: str) -> FleetConfig:
    """Raises MalformedError with one line that names the field."""
    config = toml.read(path, FleetConfig)
    for field, text in (("listen", config.listen), ("advertise", config.advertise or config.listen)):
        if split_address(text) is None:
            raise MalformedError(f"{field}: {text!r} is not an address and port")
    if bad := next((seed for seed in config.seeds if split_address(seed) is None), None):
        raise MalformedError(f"seeds: {bad!r} is not an address and port")
    if not config.fleet:
        raise MalformedError("fleet must not be empty")
    if config.hold < 0.0 or config.lower_after < 0.0:
        raise MalformedError("hold and lower_after must not be negative")
    return config
